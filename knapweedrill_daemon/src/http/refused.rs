//! Why a request does not reach the handler.

use std::time::Duration;

use super::{HttpReply, Method};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request does not reach the handler; nothing of it was run.
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
    pub(super) fn reply(self) -> HttpReply {
        match self {
            Self::Malformed(message) => HttpReply::not_run(400, "invalid", message),
            Self::MethodNotServed => method_not_served(),
            Self::TooLarge { max_bytes } => too_large(max_bytes),
            Self::TooSlow => HttpReply::not_run(
                408,
                "invalid",
                "the body did not arrive in time; send it again",
            ),
            Self::TooManyRequests => unavailable(
                "overloaded",
                "too many requests are in flight; try again later",
            ),
            Self::TooManyBodies => unavailable(
                "overloaded",
                "too many bodies are on their way; try again later",
            ),
            Self::Stopping => unavailable(
                "shutting-down",
                "the process is stopping; use another entry",
            ),
        }
    }

    /// Returns whether the request itself was acceptable, and only came at a bad time.
    pub(super) fn is_overload(self) -> bool {
        matches!(self, Self::TooManyRequests | Self::TooManyBodies)
    }
}

fn method_not_served() -> HttpReply {
    let message = format!("the method is not served; use one of {}", Method::ALLOWED);
    HttpReply::not_run(405, "invalid", &message).with_header("Allow", Method::ALLOWED)
}

fn too_large(max_bytes: usize) -> HttpReply {
    let message = format!("the body is larger than {max_bytes} bytes; submit smaller jobs");
    HttpReply::not_run(413, "invalid", &message)
}

fn unavailable(reason: &'static str, message: &str) -> HttpReply {
    HttpReply::not_run(503, reason, message).with_retry_after(RETRY_AFTER)
}
