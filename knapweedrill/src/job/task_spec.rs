//! The specification of a task.

use std::time::Duration;

use knapweedrill_derive::message;

/// The specification of one task of a job.
#[message]
pub struct TaskSpec {
    /// The input that is sent to the minion.
    pub payload: Vec<u8>,
    /// The run time that the caller expects on a minion of speed 1.
    pub hint: Option<Duration>,
}
