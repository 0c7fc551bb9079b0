//! HTTP responses.

use std::io::{Cursor, Read};
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;
use tiny_http::{Header, Response, StatusCode};

const INLINE_HEADER_COUNT: usize = 2;

/// A header of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpHeader {
    /// The header name.
    pub name: &'static str,
    /// The header value, in ASCII. A header with control characters in its value is not sent.
    pub value: String,
}

/// The media type of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// `application/json`.
    Json,
    /// `text/plain` in UTF-8.
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

/// A response, sent with a `Content-Length` and without chunked encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// Headers besides `Content-Type` and `Content-Length`.
    pub headers: SmallVec<[HttpHeader; INLINE_HEADER_COUNT]>,
    /// The media type of the body.
    pub content_type: ContentType,
    /// The complete body.
    pub body: Vec<u8>,
}

/// The body of a response that reports why a request has no regular result.
#[derive(Serialize)]
struct RejectionBody<'a> {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    message: &'a str,
}

impl HttpResponse {
    /// Creates a response with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be represented in JSON, such as a map with keys that are not
    /// strings.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("response types can be represented in JSON");
        Self::new(status, ContentType::Json, body)
    }

    /// Creates a response with a plain text body.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status, ContentType::Text, text.into().into_bytes())
    }

    /// Creates the response to a request that was not run.
    pub fn not_run(status: u16, reason: &'static str, message: &str) -> Self {
        Self::rejection(status, "not-run", Some(reason), message)
    }

    /// Creates the response to a request whose job may have run in an earlier attempt.
    pub fn unknown(status: u16, reason: Option<&'static str>, message: &str) -> Self {
        let message = format!(
            "{message}; the outcome of the job is unknown, repeat the request with the same \
             token and key"
        );
        Self::rejection(status, "unknown", reason, &message)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push(HttpHeader {
            name,
            value: value.into(),
        });
        self
    }

    /// Adds the header `Retry-After`, rounded up to whole seconds, at least one.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        self.with_header("Retry-After", seconds.to_string())
    }

    fn rejection(
        status: u16,
        outcome: &'static str,
        reason: Option<&'static str>,
        message: &str,
    ) -> Self {
        let body = RejectionBody {
            outcome,
            reason,
            message,
        };
        Self::json(status, &body)
    }

    fn new(status: u16, content_type: ContentType, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: SmallVec::new(),
            content_type,
            body,
        }
    }

    /// Converts to a response of the HTTP library.
    ///
    /// `wrap` can attach a value to the body that is dropped when the body has been written.
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

/// Returns the header, or `None` if the value contains control characters, which would break the
/// framing of the response.
fn header(name: &str, value: &str) -> Option<Header> {
    if value.bytes().any(|byte| byte.is_ascii_control()) {
        return None;
    }
    Header::from_bytes(name, value).ok()
}
