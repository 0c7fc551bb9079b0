//! Actions that a sidecar requests from its process, and the calls to and answers of its minion.

use std::time::{Duration, Instant};

use knapweedrill_derive::{key, value};

use crate::common::Incarnation;
use crate::dispatch::message::{Message, MinionProfile, StampMs};
use crate::dispatch::{RunNumber, TaskName};

/// Number of a call to the minion, unique within a sidecar process.
pub type CallNumber = u64;

/// Identifies a run at a minion.
#[key]
pub struct RunKey {
    /// The task.
    pub task: TaskName,
    /// Distinguishes the runs of one task; a later run has a higher number.
    pub number: RunNumber,
}

/// An order to start a run.
#[value]
pub struct StartCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The run.
    pub run: RunKey,
    /// The task specification of the caller, passed on unchanged.
    pub spec: String,
    /// The end of the lease, on the minion's clock. The minion rejects the order after it.
    pub lease_end_ms: StampMs,
    /// The minion rejects the call if it has seen a higher token.
    pub fencing_token: u64,
    /// The instance name of the minion that the call addresses.
    pub instance: String,
    /// When the addressed incarnation started, in Unix milliseconds; 0 if not known. The order must
    /// not reach another one with this name.
    pub started_unix_ms: u64,
    /// How long to wait for the answer.
    pub timeout: Duration,
    /// When the order has waited too long in this process to be sent. The sidecar may have reported
    /// the run as lost later on, and the minion may have restarted.
    pub send_until: Instant,
}

/// An order to stop a run.
#[value]
pub struct StopCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The run.
    pub run: RunKey,
    /// The minion rejects the call if it has seen a higher token.
    pub fencing_token: u64,
    /// The instance name of the minion that the call addresses.
    pub instance: String,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// A long poll that renews the lease and asks which runs exist and which have ended.
#[value]
pub struct HoldCall {
    /// The number of the call.
    pub call: CallNumber,
    /// The new end of the lease on the minion's clock, or `None` to leave the lease as it is.
    pub lease_end_ms: Option<StampMs>,
    /// The minion rejects the call if it has seen a higher token.
    pub fencing_token: u64,
    /// Number of the last ended run that the sidecar has processed.
    pub acknowledged_end: u64,
    /// How long the minion may delay its answer until a run ends, in milliseconds.
    pub wait_ms: u64,
    /// The instance name of the minion that the call addresses.
    pub instance: String,
    /// When the addressed incarnation started, in Unix milliseconds; 0 if not known. A lease or an
    /// acknowledgement must not reach another one with this name.
    pub started_unix_ms: u64,
    /// How long to wait for the answer, in addition to the delay that the call allows.
    pub timeout: Duration,
}

/// The answer of a minion to an order.
#[value]
pub enum OrderAnswer {
    /// The order has been carried out, now or by an earlier call.
    Accepted,
    /// The run has ended, or the minion has seen a later run of the task.
    Superseded,
    /// The lease in the order had already expired.
    LeaseExpired,
    /// The minion lacks the resources for the run.
    NoRoom,
    /// The minion has seen a higher fencing token.
    Fenced,
    /// The minion is unhealthy and did not carry out the order.
    Unhealthy,
    /// Another incarnation than the addressed one answered.
    OtherIncarnation,
    /// The minion could not parse the order.
    Malformed,
    /// No answer arrived; the order may have been carried out or may still be.
    NoAnswer,
    /// No connection could be made, so the minion has not received the order.
    NotSent,
    /// The minion did not answer the check of the connection in time, so the order was not sent.
    Unchecked,
    /// The order waited too long in this process and was not sent.
    Overdue,
}

/// How a run ended, as reported by the minion.
#[key]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed, by its own fault or that of the minion.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired, or the other runs of its group ended.
    Lapsed,
}

/// A run that has ended.
#[value]
pub struct EndedRun {
    /// Sequence number of the end, rising within an incarnation of the minion.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How the run ended.
    pub kind: EndKind,
}

/// The answer of a minion to a [`HoldCall`].
#[value]
pub struct HoldAnswer {
    /// When the minion started, in Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// The reading of the minion's monotonic clock, in milliseconds.
    pub clock_ms: StampMs,
    /// The current runs with their progress in percent.
    pub running: Vec<(RunKey, u8)>,
    /// The runs that ended after the acknowledged one.
    pub ended: Vec<EndedRun>,
    /// Whether the lists may be incomplete, such as when more runs have ended than fit into one
    /// answer.
    pub has_more: bool,
    /// The sequence numbers of ended runs that could not be parsed; `None` if not even the number
    /// could be.
    pub malformed_ends: Vec<Option<u64>>,
}

/// Why a hold call has no answer.
#[key]
pub enum HoldFailure {
    /// The connection was refused, as nothing listens at the address of the minion.
    Refused,
    /// No connection could be made for another reason, which says nothing about the minion.
    NotSent,
    /// Another incarnation than the addressed one answered, which has therefore ended.
    OtherIncarnation,
    /// No valid answer arrived in time.
    NoAnswer,
    /// The minion has seen a higher fencing token.
    Fenced,
}

/// A heartbeat of a minion.
#[value]
pub struct MinionHeartbeat {
    /// Service, capacity and labels of the minion.
    pub profile: MinionProfile,
    /// When the minion started, in Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// Sequence number, rising within an incarnation.
    pub sequence: u64,
    /// Whether the minion is shutting down and takes no new runs.
    pub is_draining: bool,
}

/// An action that a sidecar requests from its process.
#[value]
pub enum SidecarAction {
    /// Sends a message to an entry.
    Send(Incarnation, Message),
    /// Sends a start order to the minion.
    Start(StartCall),
    /// Sends a stop order to the minion.
    Stop(StopCall),
    /// Sends a hold call to the minion.
    Hold(HoldCall),
}
