//! A task that waits at an entry.

use std::cmp::Ordering;
use std::time::Duration;

use knapweedrill_derive::value;

use crate::common::{Attempt, TaskIndex};
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

/// Orders the tasks of a job: the longest expected is the greatest, then the first submitted.
#[derive(Debug)]
pub(super) struct LongestFirst(pub(super) QueuedTask);

impl LongestFirst {
    fn key(&self) -> (Duration, std::cmp::Reverse<TaskIndex>) {
        (self.0.expected, std::cmp::Reverse(self.0.task.index))
    }
}

impl PartialEq for LongestFirst {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for LongestFirst {}

impl PartialOrd for LongestFirst {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for LongestFirst {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
