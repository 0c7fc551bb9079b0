//! The identifier of a task.

use knapweedrill_derive::key;

use crate::common::{Incarnation, JobId, TaskIndex};

/// Identifies a task everywhere.
#[key]
pub struct TaskId {
    /// The entry that owns the job; the only process that hands the task out.
    pub owner: Incarnation,
    /// The job that the task is part of.
    pub job: JobId,
    /// The position of the task within the job.
    pub index: TaskIndex,
}
