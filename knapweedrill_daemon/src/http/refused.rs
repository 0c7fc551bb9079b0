//! Why a request does not reach the handler.

use std::time::Duration;

use super::HttpReply;
use super::method;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The status of a refusal that may pass soon, if nothing of the request was run.
const UNAVAILABLE: u16 = 503;

/// The same if the request names a job that may have run.
///
/// Status 503 is kept for requests of which nothing ran, so that whoever repeats a request on
/// that alone does no harm.
const OUTCOME_UNKNOWN: u16 = 500;

/// Why a request does not reach the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refused {
    /// The request is not what HTTP or this interface allows.
    Malformed(&'static str),
    /// The interface does not serve the method.
    MethodNotServed,
    /// The body is larger than the bound.
    TooLarge {
        /// The bound.
        max_bytes: usize,
    },
    /// The body did not arrive in time.
    TooSlow,
    /// Too many requests are in flight.
    TooManyRequests,
    /// Too many bodies are being read.
    TooManyBodies,
    /// The process is stopping.
    Stopping,
}

impl Refused {
    /// Returns the answer that tells the caller.
    ///
    /// A request with an owner token may repeat one that ran, so its refusal says nothing of
    /// the job. Without a token it names no job, and nothing was run.
    pub(super) fn reply(self, has_token: bool) -> HttpReply {
        let (status, reason) = (self.status(has_token), self.reason());
        let message = self.message();
        let reply = if has_token {
            HttpReply::unknown(status, Some(reason), &message)
        } else {
            HttpReply::not_run(status, reason, &message)
        };
        match self {
            Self::MethodNotServed => reply.with_header("Allow", method::ALLOWED),
            _ if self.is_passing() => reply.with_retry_after(RETRY_AFTER),
            _ => reply,
        }
    }

    /// Returns whether the request itself was acceptable, and only came at a bad time.
    pub(super) fn is_overload(self) -> bool {
        matches!(self, Self::TooManyRequests | Self::TooManyBodies)
    }

    fn is_passing(self) -> bool {
        self.is_overload() || self == Self::Stopping
    }

    fn status(self, has_token: bool) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::MethodNotServed => 405,
            Self::TooLarge { .. } => 413,
            Self::TooSlow => 408,
            Self::TooManyRequests | Self::TooManyBodies | Self::Stopping if has_token => {
                OUTCOME_UNKNOWN
            }
            Self::TooManyRequests | Self::TooManyBodies | Self::Stopping => UNAVAILABLE,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Malformed(_) | Self::MethodNotServed | Self::TooLarge { .. } | Self::TooSlow => {
                "invalid"
            }
            Self::TooManyRequests | Self::TooManyBodies => "overloaded",
            Self::Stopping => "shutting-down",
        }
    }

    fn message(self) -> String {
        match self {
            Self::Malformed(message) => message.to_owned(),
            Self::MethodNotServed => {
                format!("the method is not served; use one of {}", method::ALLOWED)
            }
            Self::TooLarge { max_bytes } => {
                format!("the body is larger than {max_bytes} bytes; submit smaller jobs")
            }
            Self::TooSlow => "the body did not arrive in time; send it again".to_owned(),
            Self::TooManyRequests => "too many requests are in flight; try again later".to_owned(),
            Self::TooManyBodies => "too many bodies are on their way; try again later".to_owned(),
            Self::Stopping => "the process is stopping; use another entry".to_owned(),
        }
    }
}
