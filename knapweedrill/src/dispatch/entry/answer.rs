//! What callers are told.

use std::time::Duration;

use knapweedrill_derive::key;

/// Names a waiting caller.
pub type CallerId = u64;

/// The answer to a caller.
#[key]
pub enum Answer {
    /// All tasks have ended with success.
    Completed,
    /// The job can't succeed: a task has failed as often as it may.
    Failed,
    /// Nothing of the job has run or will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The job is given up; a part of it has run, nothing runs on.
    GivenUp,
    /// The job was cancelled; nothing runs on.
    Cancelled,
    /// There is no queue for the request.
    NoQueue,
}

/// Why a job was refused.
#[key]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// It would wait too long.
    Overload,
    /// It has waited too long.
    Waited,
    /// No minion could ever run it.
    NoMinion,
    /// It asks for something that is not offered.
    NotOffered,
    /// The process is about to stop.
    Stopping,
}
