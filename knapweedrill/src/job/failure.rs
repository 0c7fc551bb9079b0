//! The reason for the failure of a job.

use knapweedrill_derive::message;

use crate::common::TaskIndex;

/// The reason why a job failed when some of its tasks may have run.
#[message]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// A task failed.
    TaskFailed {
        /// The first task that failed.
        index: TaskIndex,
    },
    /// The deadline passed.
    DeadlineExceeded,
    /// A client cancelled the job.
    Cancelled,
    /// The minion or sidecar of a task was lost, and it is unknown whether the task ran.
    TaskLost {
        /// The first lost task.
        index: TaskIndex,
    },
    /// The owner of the job was lost, and some of its tasks may have run.
    OwnerLost,
    /// The idempotency key is older than the owner's key retention; the outcome is unknown.
    KeyExpired,
    /// The job has ended, and the owner has evicted its outcome.
    AnswerExpired,
    /// The idempotency key was used before for a job with different content.
    KeyReused,
    /// The process is shutting down and could not finish the job in time.
    ShuttingDown,
}
