//! A task that waits at an entry.

use std::time::Duration;

use knapweedrill_derive::value;

use crate::common::Attempt;
use crate::job::TaskId;

/// A task that waits at an entry.
#[value]
#[derive(Eq)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// How often the task was handed out before.
    pub attempt: Attempt,
    /// How long the task is expected to run on a minion of speed 1.
    pub expected: Duration,
    /// What the minion is given.
    pub payload: Vec<u8>,
}
