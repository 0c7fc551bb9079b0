//! The reason for the refusal of a job.

use knapweedrill_derive::message;

/// The reason why a job was refused and none of its tasks ran.
#[message]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The request has no owner token, or one that is no longer valid for new jobs.
    TokenNeeded,
    /// The request is malformed, or names something that the configuration does not contain.
    Invalid,
    /// Admission control rejected the job: the queues are full, or it would wait past its deadline.
    Overloaded,
    /// No minion of the service can run a task of the job, even when idle.
    Impossible,
    /// The service currently has no minions.
    NoMinion,
    /// The deadline passed before any task was sent to a sidecar.
    DeadlineExceeded,
    /// A client cancelled the job before any task was sent to a sidecar.
    Cancelled,
    /// The owner was lost, and no sidecar had started a task of the job.
    OwnerLost,
    /// The process is shutting down.
    ShuttingDown,
    /// The process has no configuration yet.
    NotReady,
}
