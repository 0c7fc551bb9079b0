//! Identifiers of jobs, tasks and runs.

use std::fmt;

use knapweedrill_derive::key;

use crate::common::TaskIndex;

/// The position of a step within its job.
pub type StepIndex = u16;

/// The number of a placement, unique within one incarnation of an entry and over all its tasks.
///
/// A resubmitted job has the same task names, so only this number distinguishes its placements from
/// the earlier ones.
pub type Attempt = u64;

/// The number of a run of a task on a minion, which accepts only rising numbers: a fencing token.
pub type RunNumber = u32;

/// Identifies a queue in messages: a hash of its name.
pub type QueueTag = u32;

/// The identifier that a caller gave to a job.
#[key]
pub struct JobName(pub u64);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a task in all processes.
#[key]
pub struct TaskName {
    /// The job that the task is part of.
    pub job: JobName,
    /// The position of the task's step within the job.
    pub step: StepIndex,
    /// The position of the task within the step.
    pub index: TaskIndex,
}
