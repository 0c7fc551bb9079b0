//! The identifier of a task.

use knapweedrill_derive::key;

use crate::common::{Incarnation, JobId, TaskIndex};

/// Identifies a task in all processes.
#[key]
pub struct TaskId {
    /// The entry that owns the job, the only process that sends the task to sidecars.
    pub owner: Incarnation,
    /// The job that the task is part of.
    pub job: JobId,
    /// The position of the task within the job.
    pub index: TaskIndex,
}
