//! A job whose tasks wait at an entry.

use std::collections::BinaryHeap;
use std::time::Duration;

use super::queued_task::{LongestFirst, QueuedTask};
use crate::common::{Generation, JobId};
use crate::contract::Flow;

/// A job to queue.
#[derive(Debug, Clone)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// Which of the entry's tokens the job came under.
    pub generation: Generation,
    /// The team and class.
    pub flow: Flow,
    /// The tasks.
    pub tasks: Vec<QueuedTask>,
}

/// The waiting tasks of one job.
#[derive(Debug)]
pub(super) struct JobTasks {
    pub(super) flow: Flow,
    pub(super) generation: Generation,
    /// When the job came, since the queue was made.
    pub(super) arrived: Duration,
    pub(super) remaining: Duration,
    pub(super) tasks: BinaryHeap<LongestFirst>,
}

impl JobTasks {
    /// Returns how long the longest waiting task is expected to run.
    pub(super) fn longest(&self) -> Duration {
        self.tasks
            .peek()
            .map_or(Duration::ZERO, |task| task.0.expected)
    }

    pub(super) fn push(&mut self, task: QueuedTask) {
        self.remaining += task.expected;
        self.tasks.push(LongestFirst(task));
    }

    pub(super) fn pop(&mut self) -> Option<QueuedTask> {
        let task = self.tasks.pop()?.0;
        self.remaining = self.remaining.saturating_sub(task.expected);
        Some(task)
    }
}
