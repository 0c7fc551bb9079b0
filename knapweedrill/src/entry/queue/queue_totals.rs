//! How much waits in a queue.

use std::time::Duration;

use super::QueuedTask;

/// How much waits in a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueTotals {
    /// How many tasks wait.
    pub task_count: u32,
    /// How many bytes of payload they have.
    pub payload_bytes: u64,
    /// How long they are expected to run on a minion of speed 1.
    pub expected_work: Duration,
}

impl QueueTotals {
    /// Counts a task that comes in.
    pub(super) fn add(&mut self, task: &QueuedTask) {
        self.task_count += 1;
        self.payload_bytes += task.payload.len() as u64;
        self.expected_work += task.expected;
    }

    /// Counts a task that goes out.
    pub(super) fn remove(&mut self, task: &QueuedTask) {
        self.task_count -= 1;
        self.payload_bytes -= task.payload.len() as u64;
        self.expected_work -= task.expected;
    }
}
