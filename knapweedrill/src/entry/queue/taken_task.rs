//! Tasks that were taken from a queue.

use super::QueuedTask;
use crate::common::Generation;
use crate::contract::Flow;

/// A task that was taken from a queue, with the properties of its job that a sidecar needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenTask {
    /// The team and the class of the job.
    pub flow: Flow,
    /// The generation of the owner token that the job was submitted with.
    pub generation: Generation,
    /// The task.
    pub task: QueuedTask,
}
