//! Queued tasks.

use std::time::Duration;

use knapweedrill_derive::value;

use crate::common::Attempt;
use crate::job::TaskId;

/// A task in the queue of an entry.
#[value]
#[derive(Eq)]
pub struct QueuedTask {
    /// The identifier of the task.
    pub task: TaskId,
    /// The number of the next attempt; 0 for the first.
    pub attempt: Attempt,
    /// The expected run time on a minion of speed 1.
    pub expected_run_time: Duration,
    /// The payload that the minion receives.
    pub payload: Vec<u8>,
}
