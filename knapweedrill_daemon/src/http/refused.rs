//! Why a request does not reach the handler.

use std::time::Duration;

use super::{HttpReply, Method};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Makes the answer to a refused request from status, reason and message.
type MakeReply = fn(u16, &'static str, &str) -> HttpReply;

/// Why a request does not reach the handler; this copy of it was not run.
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
    /// Returns the answer to a request that names no job.
    pub(super) fn reply(self) -> HttpReply {
        self.reply_by(HttpReply::not_run)
    }

    /// Returns the answer to a request that names the owner of its job.
    ///
    /// The job may have run for an earlier copy of the request, so `not-run` could be false.
    pub(super) fn reply_to_resubmission(self) -> HttpReply {
        self.reply_by(HttpReply::failed)
    }

    fn reply_by(self, make: MakeReply) -> HttpReply {
        match self {
            Self::Malformed(message) => make(400, "invalid", message),
            Self::MethodNotServed => method_not_served(make),
            Self::TooLarge { max_bytes } => too_large(make, max_bytes),
            Self::TooSlow => make(
                408,
                "invalid",
                "the body did not arrive in time; send it again",
            ),
            Self::TooManyRequests => unavailable(
                make,
                "overloaded",
                "too many requests are in flight; try again later",
            ),
            Self::TooManyBodies => unavailable(
                make,
                "overloaded",
                "too many bodies are on their way; try again later",
            ),
            Self::Stopping => unavailable(
                make,
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

fn method_not_served(make: MakeReply) -> HttpReply {
    let message = format!("the method is not served; use one of {}", Method::ALLOWED);
    make(405, "invalid", &message).with_header("Allow", Method::ALLOWED)
}

fn too_large(make: MakeReply, max_bytes: usize) -> HttpReply {
    let message = format!("the body is larger than {max_bytes} bytes; submit smaller jobs");
    make(413, "invalid", &message)
}

fn unavailable(make: MakeReply, reason: &'static str, message: &str) -> HttpReply {
    make(503, reason, message).with_retry_after(RETRY_AFTER)
}
