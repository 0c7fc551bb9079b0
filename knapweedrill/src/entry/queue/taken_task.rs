//! A task taken from the queue.

use super::QueuedTask;
use crate::common::Generation;
use crate::contract::Flow;

/// A task taken from the queue, with what a sidecar is told of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenTask {
    /// The team and class.
    pub flow: Flow,
    /// Which of the entry's tokens the job came under.
    pub generation: Generation,
    /// The task.
    pub task: QueuedTask,
}
