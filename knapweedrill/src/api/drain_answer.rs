//! The answer of `POST /v1/drain`.

use knapweedrill_derive::message;

use crate::common::ProcessName;

/// The answer of `POST /v1/drain`: the planned stop has begun.
#[message]
pub struct DrainAnswer {
    /// The process that stops.
    pub process: ProcessName,
    /// The time that the stop may take.
    pub deadline_ms: u64,
}
