//! Answers to HTTP requests.

use std::io::{Cursor, Read};
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;
use tiny_http::{Header, Response, StatusCode};

const HEADERS_INLINE: usize = 2;

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpHeader {
    /// The name.
    pub name: &'static str,
    /// The value, in ASCII.
    pub value: String,
}

/// The type of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// JSON.
    Json,
    /// Plain text in UTF-8.
    Text,
}

impl ContentType {
    fn value(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Text => "text/plain; charset=utf-8",
        }
    }
}

/// An answer; it is sent whole, with its length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// Headers besides `Content-Type` and `Content-Length`.
    pub headers: SmallVec<[HttpHeader; HEADERS_INLINE]>,
    /// The type of the body.
    pub content_type: ContentType,
    /// The body.
    pub body: Vec<u8>,
}

/// The body of an answer that tells an outcome without results.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    outcome: &'static str,
    reason: &'static str,
    message: &'a str,
}

impl HttpReply {
    /// Creates an answer of JSON.
    ///
    /// # Panics
    ///
    /// Panics if the value has no form in JSON, such as a map with keys that are not text.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the types of answers have a form in JSON");
        Self::new(status, ContentType::Json, body)
    }

    /// Creates an answer of plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status, ContentType::Text, text.into().into_bytes())
    }

    /// Creates the answer to a request that was not run.
    pub fn not_run(status: u16, reason: &'static str, message: &str) -> Self {
        Self::without_results("not-run", status, reason, message)
    }

    /// Creates the answer to a request whose job may have run before.
    pub fn failed(status: u16, reason: &'static str, message: &str) -> Self {
        Self::without_results("failed", status, reason, message)
    }

    fn without_results(
        outcome: &'static str,
        status: u16,
        reason: &'static str,
        message: &str,
    ) -> Self {
        let body = OutcomeBody {
            outcome,
            reason,
            message,
        };
        Self::json(status, &body)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push(HttpHeader {
            name,
            value: value.into(),
        });
        self
    }

    /// Adds the header `Retry-After`, rounded up to whole seconds.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        self.with_header("Retry-After", seconds.to_string())
    }

    fn new(status: u16, content_type: ContentType, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: SmallVec::new(),
            content_type,
            body,
        }
    }

    /// Turns the answer into that of the HTTP library; `wrap` may attach something to the body
    /// that is to be dropped once the body has been written.
    pub(super) fn into_response<R: Read>(
        self,
        wrap: impl FnOnce(Cursor<Vec<u8>>) -> R,
    ) -> Response<R> {
        let mut headers = vec![header("Content-Type", self.content_type.value())];
        headers.extend(
            self.headers
                .iter()
                .map(|entry| header(entry.name, &entry.value)),
        );
        let length = self.body.len();
        Response::new(
            StatusCode(self.status),
            headers.into_iter().flatten().collect(),
            wrap(Cursor::new(self.body)),
            Some(length),
            None,
        )
        .with_chunked_threshold(usize::MAX)
    }
}

/// Returns the header, or nothing if the value would break the message.
fn header(name: &str, value: &str) -> Option<Header> {
    if value.bytes().any(|byte| byte.is_ascii_control()) {
        return None;
    }
    Header::from_bytes(name, value).ok()
}
