//! The response body of `POST /v1/drain`.

use knapweedrill_derive::message;

use crate::common::ProcessName;

/// The response body of `POST /v1/drain`, sent once the graceful shutdown has begun.
#[message]
pub struct DrainResponse {
    /// The process that is shutting down.
    pub process: ProcessName,
    /// The longest time that the shutdown may take.
    pub deadline_ms: u64,
}
