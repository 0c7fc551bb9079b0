//! Rejections of requests before they reach the handler.

use std::time::Duration;

use super::HttpResponse;
use super::method;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The status of a transient rejection if the request was not run.
const UNAVAILABLE_STATUS: u16 = 503;

/// The status of a transient rejection if the request names a job that may have run.
///
/// Status 503 is reserved for requests that were not run, so that clients can safely retry on
/// this status alone.
const OUTCOME_UNKNOWN_STATUS: u16 = 500;

/// The reason why a request does not reach the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The request violates HTTP or the rules of this server; the text is the message to the client.
    Malformed(&'static str),
    /// The server does not support the method.
    MethodNotAllowed,
    /// The body exceeds the size limit.
    BodyTooLarge {
        /// The size limit, in bytes.
        max_bytes: usize,
    },
    /// The body did not arrive within its timeout.
    BodyTimeout,
    /// The limit of requests in flight is reached.
    TooManyRequests,
    /// The limit of concurrent body reads is reached.
    TooManyBodyReads,
    /// The process is shutting down.
    ShuttingDown,
}

impl Rejection {
    /// Returns the response to the client.
    ///
    /// A request with an owner token may be a retry of one that ran, so its outcome is `unknown`.
    /// Without a token it names no job, so its outcome is `not-run`.
    pub(super) fn response(self, has_token: bool) -> HttpResponse {
        let (status, reason) = (self.status(has_token), self.reason());
        let message = self.message();
        let response = if has_token {
            HttpResponse::unknown(status, Some(reason), &message)
        } else {
            HttpResponse::not_run(status, reason, &message)
        };
        match self {
            Self::MethodNotAllowed => response.with_header("Allow", method::ALLOWED),
            _ if self.is_transient() => response.with_retry_after(RETRY_AFTER),
            _ => response,
        }
    }

    /// Returns whether a valid request was rejected because a concurrency limit is reached.
    pub(super) fn is_overload(self) -> bool {
        matches!(self, Self::TooManyRequests | Self::TooManyBodyReads)
    }

    fn is_transient(self) -> bool {
        self.is_overload() || self == Self::ShuttingDown
    }

    fn status(self, has_token: bool) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::MethodNotAllowed => 405,
            Self::BodyTooLarge { .. } => 413,
            Self::BodyTimeout => 408,
            Self::TooManyRequests | Self::TooManyBodyReads | Self::ShuttingDown if has_token => {
                OUTCOME_UNKNOWN_STATUS
            }
            Self::TooManyRequests | Self::TooManyBodyReads | Self::ShuttingDown => {
                UNAVAILABLE_STATUS
            }
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Malformed(_)
            | Self::MethodNotAllowed
            | Self::BodyTooLarge { .. }
            | Self::BodyTimeout => "invalid",
            Self::TooManyRequests | Self::TooManyBodyReads => "overloaded",
            Self::ShuttingDown => "shutting-down",
        }
    }

    fn message(self) -> String {
        match self {
            Self::Malformed(message) => message.to_owned(),
            Self::MethodNotAllowed => {
                format!(
                    "the method is not supported; use one of {}",
                    method::ALLOWED
                )
            }
            Self::BodyTooLarge { max_bytes } => {
                format!("the body is larger than {max_bytes} bytes; submit smaller jobs")
            }
            Self::BodyTimeout => "the body did not arrive in time; send it again".to_owned(),
            Self::TooManyRequests => "too many requests are in flight; try again later".to_owned(),
            Self::TooManyBodyReads => {
                "too many request bodies are being received; try again later".to_owned()
            }
            Self::ShuttingDown => "the process is shutting down; use another entry".to_owned(),
        }
    }
}
