//! Names of jobs, tasks and runs.

use std::fmt;

use knapweedrill_derive::key;

use crate::common::TaskIndex;

/// The position of a step within its job.
pub type StepIndex = u16;

/// Numbers the placements of one run of an entry process, over all its tasks. A job that is handed
/// in again has the same task names, so only this tells its placements from the earlier ones.
pub type Attempt = u64;

/// Numbers the runs of a task at a minion, which takes only rising numbers.
pub type RunNumber = u32;

/// The name that a caller gave to a job.
#[key]
pub struct JobName(pub u64);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names a task everywhere.
#[key]
pub struct TaskName {
    /// The job.
    pub job: JobName,
    /// The step within the job.
    pub step: StepIndex,
    /// The position within the step.
    pub index: TaskIndex,
}
