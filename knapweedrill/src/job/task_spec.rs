//! What a caller asks of one task.

use std::time::Duration;

use knapweedrill_derive::message;

/// What a caller asks of one task.
#[message]
pub struct TaskSpec {
    /// What the minion is given.
    pub payload: Vec<u8>,
    /// How long the caller expects the task to run on a minion of speed 1.
    pub hint: Option<Duration>,
}
