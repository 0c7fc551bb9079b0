//! Why a job failed.

use knapweedrill_derive::message;

use crate::common::TaskIndex;

/// Why a job failed after some of its tasks may have run.
#[message]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// A task reported a failure of its own.
    TaskFailed {
        /// The first task that did.
        index: TaskIndex,
    },
    /// The deadline passed.
    DeadlineExceeded,
    /// A client cancelled the job.
    Cancelled,
    /// The minion or sidecar that had a task is gone, and nobody knows whether the task ran.
    TaskLost {
        /// The first task lost.
        index: TaskIndex,
    },
    /// The owner of the job is gone, and some task may have run.
    OwnerLost,
    /// The key is older than what the owner keeps; the outcome is unknown.
    KeyExpired,
    /// The job has ended, and its answer is no longer kept.
    AnswerExpired,
    /// The key was used before for a job with other content.
    KeyReused,
    /// The process is stopping and could not finish the job in time.
    ShuttingDown,
}
