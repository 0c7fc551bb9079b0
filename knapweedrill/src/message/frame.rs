//! Frames and messages of a link.

use knapweedrill_derive::message;

use super::{
    Credit, Demand, FenceReport, HandOver, Hello, ReconciledTask, RelayRequest, RelayResponse,
    RosterNotice, SlotReport, Start, TaskInDoubt, TaskReport,
};
use crate::common::{HybridTime, Incarnation, JobId, SessionNumber};
use crate::contract::{ConfigurationRecord, ConfigurationVersion, OwnerToken};

/// The version of the protocol between processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message on a link, with the session that it belongs to.
#[message]
pub struct Frame {
    /// The session; receivers drop frames of a fenced session.
    pub session: SessionNumber,
    /// The sender's hybrid logical clock.
    pub clock: HybridTime,
    /// The message.
    pub message: Message,
}

/// A message on a link.
#[message]
pub enum Message {
    /// Opens the session.
    Hello(Hello),
    /// Requests a `Pong`, which shows that the connection works.
    Ping,
    /// Answers a `Ping`.
    Pong,

    /// Entry to sidecar: all demands of the entry for the minion, replacing its earlier demands.
    Demands(Vec<Demand>),
    /// Entry to sidecar: starts tasks.
    Start {
        /// The tasks to start.
        tasks: Vec<Start>,
        /// The current demands, as in `Demands`, if they have changed.
        demands: Option<Vec<Demand>>,
    },
    /// Entry to sidecar: stops the running tasks of a job and drops its queued ones.
    Cancel(JobId),
    /// Entry to sidecar: asks for the state of tasks that a broken session left in doubt.
    Reconcile(Vec<TaskInDoubt>),
    /// Entry to sidecar: returns unused credits.
    ReturnCredit(u32),
    /// Entry to sidecar: requests that no more tasks of the job start, and whether any has started.
    Fence {
        /// The owner token of the job.
        token: OwnerToken,
        /// The job.
        job: JobId,
    },

    /// Sidecar to entry: the free slots, and credits for slots that are free or soon will be.
    Slots {
        /// The state of the slots.
        report: SlotReport,
        /// The credits granted to the entry.
        credits: Vec<Credit>,
    },
    /// Sidecar to entry: tasks that ended or were refused, with credits for the freed slots.
    Reports {
        /// The outcomes of the tasks.
        tasks: Vec<TaskReport>,
        /// The state of the slots.
        report: SlotReport,
        /// The credits granted to the entry.
        credits: Vec<Credit>,
    },
    /// Sidecar to entry: answers `Reconcile`.
    Reconciled(Vec<ReconciledTask>),
    /// Sidecar to entry: answers `Fence`.
    Fenced(FenceReport),

    /// Entry to entry: relays a caller's request to the owner of the job.
    Relay(RelayRequest),
    /// Entry to entry: answers `Relay`.
    RelayResponse(RelayResponse),
    /// Entry to entry: the sidecars that the roster digest in the sender's token denotes.
    Roster(RosterNotice),
    /// Entry to entry: hands over retained keys at a graceful shutdown.
    HandOver(HandOver),
    /// Entry to entry: acknowledges the parts of a handover up to this one.
    HandOverTaken {
        /// The entry that is shutting down.
        from: Incarnation,
        /// The number of the last part that was taken over.
        part: u32,
    },
    /// Entry to entry: the sender has taken over the owner tokens of an entry that has stopped.
    AnswersFor {
        /// The entry that has stopped.
        stopped: Incarnation,
    },

    /// Any process: requests the configuration if the receiver has a newer one.
    ConfigurationPull {
        /// The version in force at the sender.
        have: Option<ConfigurationVersion>,
    },
    /// Any process: the configuration in force.
    ConfigurationPush {
        /// The version.
        version: ConfigurationVersion,
        /// The log record of that version.
        record: ConfigurationRecord,
    },
}
