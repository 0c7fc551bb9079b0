//! What can happen.

use knapweedrill_derive::message;

use crate::common::{Attempt, Incarnation, JobId, ProcessName, SessionNumber};
use crate::contract::{ConfigurationVersion, OwnerToken};
use crate::job::{Failure, Refusal, TaskId};
use crate::minion::MinionState;

/// What happened.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The process began a planned stop.
    StopBegun,
    /// The process ended its planned stop.
    StopEnded,

    /// An entry accepted a job.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The token it came under.
        token: OwnerToken,
        /// How many tasks it has.
        task_count: u32,
    },
    /// A resubmission attached to a job.
    JobAttached {
        /// The job.
        job: JobId,
    },
    /// An entry passed a request on to the owner.
    JobRelayed {
        /// The job.
        job: JobId,
        /// The owner.
        owner: Incarnation,
    },
    /// A job ended complete.
    JobCompleted {
        /// The job.
        job: JobId,
    },
    /// A job ended failed.
    JobFailed {
        /// The job.
        job: JobId,
        /// Why.
        failure: Failure,
    },
    /// A job was not run.
    JobNotRun {
        /// The job.
        job: JobId,
        /// Why not.
        refusal: Refusal,
    },

    /// An entry handed a task to a sidecar.
    TaskHandedOut {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The sidecar.
        sidecar: Incarnation,
    },
    /// A sidecar started a task on its minion.
    TaskStarted {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A task ended on its minion.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether it returned a result.
        is_done: bool,
    },
    /// A sidecar refused an attempt and will never start it, or could not reach the minion with it.
    ///
    /// It takes back a [`TaskStarted`](Self::TaskStarted) of the same attempt.
    TaskFenced {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A sidecar was asked to start nothing more of a job.
    JobFenced {
        /// The job.
        job: JobId,
        /// Whether any of its tasks may have started there.
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

    /// A process became known.
    PeerFound {
        /// The process.
        peer: Incarnation,
        /// Its name.
        peer_name: ProcessName,
    },
    /// A process went silent.
    PeerLost {
        /// The process.
        peer: Incarnation,
    },
    /// A minion changed its state.
    MinionChanged {
        /// The sidecar of the minion.
        sidecar: Incarnation,
        /// The new state.
        state: MinionState,
    },
    /// A minion was ejected for its failures.
    MinionEjected {
        /// The sidecar of the minion.
        sidecar: Incarnation,
    },
    /// An ejected minion was readmitted.
    MinionReadmitted {
        /// The sidecar of the minion.
        sidecar: Incarnation,
    },

    /// A stopping entry handed its keys over.
    KeysHandedOver {
        /// The successor.
        to: Incarnation,
        /// How many keys.
        key_count: u32,
    },
    /// An entry took over the keys of a stopping one.
    KeysTakenOver {
        /// The entry that is stopping.
        from: Incarnation,
        /// How many keys.
        key_count: u32,
    },

    /// A configuration came into force in this process.
    ConfigurationInForce {
        /// The version.
        version: ConfigurationVersion,
    },
    /// A record in the log was void: invalid, or its parent was not the version in force.
    ConfigurationRejected {
        /// The offset of the record.
        offset: u64,
    },
    /// The log of the platform stopped answering.
    LogLost,
    /// The log of the platform answers again.
    LogFound,
}
