//! The outcome of a job in the HTTP interface.

use knapweedrill_derive::key;

/// The outcome of a job as a response states it.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Every task ran and succeeded.
    Complete,
    /// The job did not complete; some of its tasks may have run.
    Failed,
    /// No task of the job ran, and none will.
    NotRun,
    /// The job has not ended.
    Running,
    /// The owner does not know the key, or the request was malformed.
    Unknown,
}
