//! What a link carries.

use knapweedrill_derive::message;

use super::{
    Credit, Demand, FenceReport, HandOver, Hello, RelayAnswer, RelayRequest, RosterNotice,
    SlotReport, Start, TaskInDoubt, TaskReport, TaskVerdict,
};
use crate::common::{HybridTime, Incarnation, JobId, SessionNumber};
use crate::contract::{ConfigurationRecord, ConfigurationVersion, OwnerToken};

/// The version of the protocol between the system's processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message on a link, with the session it belongs to.
#[message]
pub struct Frame {
    /// The session; a frame of a fenced session is dropped.
    pub session: SessionNumber,
    /// The sender's clock.
    pub clock: HybridTime,
    /// The message.
    pub message: Message,
}

/// A message on a link.
#[message]
pub enum Message {
    /// Opens the session.
    Hello(Hello),
    /// Asks the other side to show that the connection works.
    Ping,
    /// Answers a `Ping`.
    Pong,

    /// Entry to sidecar: all that the entry would run on the minion, replacing what it said before.
    Demands(Vec<Demand>),
    /// Entry to sidecar: starts tasks.
    Start {
        /// The tasks.
        tasks: Vec<Start>,
        /// What `Demands` would say, if it has changed.
        demands: Option<Vec<Demand>>,
    },
    /// Entry to sidecar: stops what runs of a job and drops what waits.
    Cancel(JobId),
    /// Entry to sidecar: asks for tasks whose fate a broken session left open.
    Reconcile(Vec<TaskInDoubt>),
    /// Entry to sidecar: returns credits that the entry has no use for.
    ReturnCredit(u32),
    /// Entry to sidecar: never start anything more of the job, and tell what was started.
    Fence {
        /// The token of the job's owner.
        token: OwnerToken,
        /// The job.
        job: JobId,
    },

    /// Sidecar to entry: the free slots, and credits for slots that are or will soon be free.
    Slots {
        /// The state of the slots.
        report: SlotReport,
        /// Which of the entry's demands may start.
        credits: Vec<Credit>,
    },
    /// Sidecar to entry: tasks that ended or were refused, with credits for the slots set free.
    Reports {
        /// The tasks.
        tasks: Vec<TaskReport>,
        /// The state of the slots.
        report: SlotReport,
        /// Which of the entry's demands may start.
        credits: Vec<Credit>,
    },
    /// Sidecar to entry: answers `Reconcile`.
    Verdicts(Vec<TaskVerdict>),
    /// Sidecar to entry: answers `Fence`.
    Fenced(FenceReport),

    /// Entry to entry: passes a caller's request on to the owner of the job.
    Relay(RelayRequest),
    /// Entry to entry: answers `Relay`.
    RelayAnswer(RelayAnswer),
    /// Entry to entry: the sidecars that the sender's current token names.
    Roster(RosterNotice),
    /// Entry to entry: hands over the kept keys at a planned stop.
    HandOver(HandOver),
    /// Entry to entry: the keys up to this part have been taken over.
    HandOverTaken {
        /// The entry that is stopping.
        from: Incarnation,
        /// The part that was taken.
        part: u32,
    },
    /// Entry to entry: the sender answers for the tokens of an entry that has stopped.
    AnswersFor {
        /// The entry that has stopped.
        stopped: Incarnation,
    },

    /// Any process: asks for the configuration if the receiver has a newer one.
    ConfigurationPull {
        /// The version that the sender has in force.
        have: Option<ConfigurationVersion>,
    },
    /// Any process: the configuration in force.
    ConfigurationPush {
        /// The version.
        version: ConfigurationVersion,
        /// The record that brought it into force.
        record: ConfigurationRecord,
    },
}
