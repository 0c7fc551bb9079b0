//! What a sidecar asks its process to do, and what it learns from its minion.

use knapweedrill_derive::{key, value};

use crate::common::Incarnation;
use crate::dispatch::message::{Message, MinionProfile, StampMs};
use crate::dispatch::{RunNumber, TaskName};

/// Numbers the calls of the minion.
pub type CallNumber = u64;

/// Names a run at a minion.
#[key]
pub struct RunKey {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub number: RunNumber,
}

/// An order to start a run.
#[value]
pub struct StartCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The run.
    pub run: RunKey,
    /// What the caller wants to be run.
    pub spec: String,
    /// The end of the lease, on the minion's clock; later the order has no effect.
    pub lease_end_ms: StampMs,
    /// The fencing token.
    pub fencing_token: u64,
    /// The life of the minion that is meant.
    pub instance: String,
}

/// An order to stop a run.
#[value]
pub struct StopCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The run.
    pub run: RunKey,
    /// The fencing token.
    pub fencing_token: u64,
    /// The life of the minion that is meant.
    pub instance: String,
}

/// A call that renews the lease and asks for what runs and what has ended.
#[value]
pub struct HoldCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The new end of the lease, if it is to be renewed.
    pub lease_end_ms: Option<StampMs>,
    /// The fencing token.
    pub fencing_token: u64,
    /// The ends up to this number have been taken note of.
    pub seen: u64,
    /// How long the minion may wait for an end before it answers, in milliseconds.
    pub wait_ms: u64,
    /// The life of the minion that is meant.
    pub instance: String,
}

/// What a minion answered to an order.
#[value]
pub enum OrderAnswer {
    /// It carried the order out, now or before.
    Accepted,
    /// The run is over, or a later one was there.
    Old,
    /// The lease that the order named had ended.
    Late,
    /// The run does not fit.
    NoRoom,
    /// A higher fencing token was there before.
    Fenced,
    /// It is not well, and has done nothing.
    Unhealthy,
    /// Another life of the minion answered.
    OtherLife,
    /// The order was not understood.
    Malformed,
    /// There was no answer; the order may be carried out, also later.
    NoAnswer,
    /// The minion has not seen the order, since no connection could be made.
    NotSent,
}

/// How a run ended, in the words of the minion.
#[key]
pub enum HowEnded {
    /// With success.
    Done,
    /// By a fault of its own or of the minion.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out, or the others of its group ended.
    Lapsed,
}

/// A run that has ended.
#[value]
pub struct EndedRun {
    /// The number of the end; it rises in a life of the minion.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How.
    pub how: HowEnded,
}

/// What a minion said of its runs.
#[value]
pub struct HoldAnswer {
    /// When the life of the minion began, in Unix milliseconds; 0 if it did not say.
    pub born_ms: u64,
    /// Its clock.
    pub clock_ms: StampMs,
    /// What runs, with the share of the work that is done, in percent.
    pub running: Vec<(RunKey, u8)>,
    /// What has ended since the ends that were taken note of.
    pub ended: Vec<EndedRun>,
    /// Whether more has ended than one answer tells.
    pub has_more: bool,
}

/// What a minion says of itself in a heartbeat.
#[value]
pub struct MinionReport {
    /// What stays the same for its life.
    pub profile: MinionProfile,
    /// When its life began, in Unix milliseconds; 0 if it did not say.
    pub born_ms: u64,
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// What a sidecar asks its process to do.
#[value]
pub enum SidecarAction {
    /// Sends a message to an entry.
    Send(Incarnation, Message),
    /// Orders a start.
    Start(StartCall),
    /// Orders a stop.
    Stop(StopCall),
    /// Renews the lease and asks what runs.
    Hold(HoldCall),
}
