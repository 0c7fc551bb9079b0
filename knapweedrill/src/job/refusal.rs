//! Why a job was not run.

use knapweedrill_derive::message;

/// Why no task of a job ran.
#[message]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The request carried no owner token, or one that takes no new jobs.
    TokenNeeded,
    /// The request is malformed or asks for what the configuration does not have.
    Invalid,
    /// The queues are full, or the wait would outlast the deadline.
    Overloaded,
    /// No minion of the service can ever run the task.
    Impossible,
    /// The service has no minion at present.
    NoMinion,
    /// The deadline passed before any task was handed out.
    DeadlineExceeded,
    /// A client cancelled the job before any task was handed out.
    Cancelled,
    /// The owner is gone, and no sidecar started anything of the job.
    OwnerLost,
    /// The process is stopping.
    ShuttingDown,
    /// The process has no configuration yet.
    NotReady,
}
