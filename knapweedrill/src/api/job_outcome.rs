//! The outcome of a job in JSON.

use knapweedrill_derive::key;

/// The outcome of a job, as an answer names it.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Every task ran and succeeded.
    Complete,
    /// The job did not complete; some of its tasks may have run.
    Failed,
    /// No task of the job ran, and none will.
    NotRun,
    /// The job goes on.
    Running,
    /// The owner does not know the key, or the question was malformed.
    Unknown,
}
