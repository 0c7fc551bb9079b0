//! The types of events.

use knapweedrill_derive::message;

use crate::common::{Attempt, Incarnation, JobId, ProcessName, SessionNumber};
use crate::contract::{ConfigurationVersion, OwnerToken};
use crate::job::{Failure, Refusal, TaskId};
use crate::minion::MinionState;

/// The type of an event, and its details.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The process began a planned shutdown.
    StopBegun,
    /// The process completed its planned shutdown.
    StopEnded,

    /// An entry accepted a job.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The owner token of the job.
        token: OwnerToken,
        /// The number of tasks of the job.
        task_count: u32,
    },
    /// A resubmission was attached to a job that the entry already has.
    JobAttached {
        /// The job.
        job: JobId,
    },
    /// An entry relayed a request to the owner of the job.
    JobRelayed {
        /// The job.
        job: JobId,
        /// The owner of the job.
        owner: Incarnation,
    },
    /// All tasks of a job succeeded.
    JobCompleted {
        /// The job.
        job: JobId,
    },
    /// A job failed.
    JobFailed {
        /// The job.
        job: JobId,
        /// The reason for the failure.
        failure: Failure,
    },
    /// A job was refused and not run.
    JobNotRun {
        /// The job.
        job: JobId,
        /// The reason for the refusal.
        refusal: Refusal,
    },

    /// An entry sent a task to a sidecar.
    TaskHandedOut {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: Attempt,
        /// The sidecar that the task was sent to.
        sidecar: Incarnation,
    },
    /// A sidecar started a task on its minion.
    TaskStarted {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: Attempt,
    },
    /// A task ended on its minion.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: Attempt,
        /// Whether it returned a result.
        is_done: bool,
    },
    /// A sidecar refused an attempt and will never start it, or could not deliver it to the minion.
    ///
    /// It revokes a preceding [`TaskStarted`](Self::TaskStarted) of the same attempt.
    TaskFenced {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: Attempt,
    },
    /// A sidecar was told to start no more tasks of a job.
    JobFenced {
        /// The job.
        job: JobId,
        /// Whether tasks of the job may have started at the sidecar.
        may_have_started: bool,
    },

    /// A link session opened.
    SessionOpened {
        /// The process at the other end.
        peer: Incarnation,
        /// The name of that process.
        peer_name: ProcessName,
        /// The session.
        session: SessionNumber,
    },
    /// A link session closed or was fenced.
    SessionClosed {
        /// The process at the other end.
        peer: Incarnation,
        /// The session.
        session: SessionNumber,
    },

    /// Another process was discovered.
    PeerFound {
        /// The process.
        peer: Incarnation,
        /// The name of the process.
        peer_name: ProcessName,
    },
    /// Another process fell silent.
    PeerLost {
        /// The process.
        peer: Incarnation,
    },
    /// The state of a minion changed.
    MinionChanged {
        /// The sidecar of the minion.
        sidecar: Incarnation,
        /// The new state.
        state: MinionState,
    },
    /// Outlier detection ejected a minion because of its failures.
    MinionEjected {
        /// The sidecar of the minion.
        sidecar: Incarnation,
    },
    /// An ejected minion was readmitted.
    MinionReadmitted {
        /// The sidecar of the minion.
        sidecar: Incarnation,
    },

    /// An entry that is shutting down handed its idempotency keys over to another.
    KeysHandedOver {
        /// The entry that received the keys.
        to: Incarnation,
        /// The number of keys.
        key_count: u32,
    },
    /// An entry took over the idempotency keys of another that is shutting down.
    KeysTakenOver {
        /// The entry that is shutting down.
        from: Incarnation,
        /// The number of keys.
        key_count: u32,
    },

    /// This process put a configuration into force.
    ConfigurationInForce {
        /// The version of the configuration.
        version: ConfigurationVersion,
    },
    /// A configuration record in the log was rejected: it was invalid, or its parent was not the
    /// version in force.
    ConfigurationRejected {
        /// The offset of the record.
        offset: u64,
    },
    /// The platform's log stopped responding.
    LogLost,
    /// The platform's log responds again.
    LogFound,
}
