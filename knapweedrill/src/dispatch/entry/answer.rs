//! Answers to callers.

use std::time::Duration;

use knapweedrill_derive::key;

/// Identifies a waiting caller. The process that owns the entry assigns it.
pub type CallerId = u64;

/// The final result of a job, as its callers receive it.
#[key]
pub enum Answer {
    /// All tasks succeeded.
    Completed,
    /// A task used up its attempts without success.
    Failed,
    /// No task of the job has run or will run.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// How long the caller should wait before it submits the job again.
        retry_after: Duration,
    },
    /// The job was abandoned after some of its tasks had started; none of them still runs.
    GivenUp,
    /// The job was cancelled; none of its tasks still runs.
    Cancelled,
    /// No queue matches the host and path of the request.
    NoQueue,
}

/// The reason why a job was refused.
#[key]
pub enum RefusalReason {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// Admission control expects the job to miss its objective.
    Overload,
    /// The job waited so long that it can no longer end in time.
    Waited,
    /// No known minion could run one of its tasks, even when idle.
    NoMinion,
    /// The job asks for a feature that is not supported.
    NotOffered,
    /// The process is shutting down.
    Stopping,
    /// The process stood still, so that the caller may have submitted the job elsewhere.
    StoodStill,
    /// All minions that could run one of its tasks are in evacuated failure domains.
    Evacuated,
}
