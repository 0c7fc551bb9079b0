//! Totals of a queue.

use std::time::Duration;

use super::QueuedTask;

/// Totals over the waiting tasks of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueTotals {
    /// The number of tasks.
    pub task_count: u32,
    /// The total size of the payloads, in bytes.
    pub payload_bytes: u64,
    /// The total expected run time on a minion of speed 1.
    pub expected_work: Duration,
}

impl QueueTotals {
    /// Adds a task that is queued.
    pub(super) fn add(&mut self, task: &QueuedTask) {
        self.task_count += 1;
        self.payload_bytes += task.payload.len() as u64;
        self.expected_work += task.expected_run_time;
    }

    /// Subtracts a task that leaves the queue.
    pub(super) fn remove(&mut self, task: &QueuedTask) {
        self.task_count -= 1;
        self.payload_bytes -= task.payload.len() as u64;
        self.expected_work -= task.expected_run_time;
    }
}
