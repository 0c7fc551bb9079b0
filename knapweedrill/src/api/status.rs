//! The HTTP status of each response.

use super::{ApplyOutcome, ApplyResponse, JobOutcome, JobResponse, Reason};

/// An HTTP status code.
pub type HttpStatus = u16;

const OK: HttpStatus = 200;
const ACCEPTED: HttpStatus = 202;
const BAD_REQUEST: HttpStatus = 400;
const NOT_FOUND: HttpStatus = 404;
const CONFLICT: HttpStatus = 409;
const GONE: HttpStatus = 410;
const UNPROCESSABLE: HttpStatus = 422;
const PRECONDITION_REQUIRED: HttpStatus = 428;
const TOO_MANY_REQUESTS: HttpStatus = 429;
const BAD_GATEWAY: HttpStatus = 502;
const UNAVAILABLE: HttpStatus = 503;
const GATEWAY_TIMEOUT: HttpStatus = 504;

impl JobResponse {
    /// Returns the HTTP status of the response.
    ///
    /// Statuses 429 and 503 are reserved for jobs of which no task ran, so a client that retries
    /// only on these never runs a task twice.
    pub fn http_status(&self) -> HttpStatus {
        match self.outcome {
            JobOutcome::Complete => OK,
            JobOutcome::Running => ACCEPTED,
            JobOutcome::Unknown if self.reason == Some(Reason::Invalid) => BAD_REQUEST,
            JobOutcome::Unknown => NOT_FOUND,
            JobOutcome::Failed => failed_status(self.reason),
            JobOutcome::NotRun => not_run_status(self.reason),
        }
    }
}

fn failed_status(reason: Option<Reason>) -> HttpStatus {
    match reason {
        Some(Reason::DeadlineExceeded) => GATEWAY_TIMEOUT,
        Some(Reason::Cancelled | Reason::KeyExpired | Reason::AnswerExpired) => GONE,
        Some(Reason::KeyReused) => CONFLICT,
        _ => BAD_GATEWAY,
    }
}

fn not_run_status(reason: Option<Reason>) -> HttpStatus {
    match reason {
        Some(Reason::TokenNeeded) => PRECONDITION_REQUIRED,
        Some(Reason::Invalid) => BAD_REQUEST,
        Some(Reason::Impossible) => UNPROCESSABLE,
        Some(Reason::Cancelled) => GONE,
        Some(Reason::Overloaded) => TOO_MANY_REQUESTS,
        _ => UNAVAILABLE,
    }
}

impl ApplyResponse {
    /// Returns the HTTP status of the response.
    pub fn http_status(&self) -> HttpStatus {
        match self.outcome {
            ApplyOutcome::Accepted => OK,
            ApplyOutcome::Rejected => CONFLICT,
            ApplyOutcome::Invalid => BAD_REQUEST,
            ApplyOutcome::NotApplied => UNAVAILABLE,
            ApplyOutcome::Unknown => GATEWAY_TIMEOUT,
        }
    }
}
