//! What entries and sidecars tell each other.

use std::time::Duration;

use knapweedrill_derive::{key, message};

use super::{Attempt, Room, RunNumber, TaskName};
use crate::common::ServiceName;

/// Milliseconds of a process's steady clock since its start.
pub type StampMs = u64;

/// What a process is.
#[key]
pub enum Role {
    /// It takes jobs from callers.
    Entry,
    /// It gives orders to a minion.
    Sidecar,
}

impl Role {
    /// Returns the role at the other end of a session.
    pub fn other(self) -> Self {
        match self {
            Self::Entry => Self::Sidecar,
            Self::Sidecar => Self::Entry,
        }
    }
}

/// A message that arrives once and in order, as long as both processes live.
#[message]
pub enum Message {
    /// Entry to sidecar: run a task.
    Start(StartOrder),
    /// Entry to sidecar: end a placement of a task.
    Stop {
        /// The task.
        task: TaskName,
        /// Which placement of it.
        attempt: Attempt,
    },
    /// Sidecar to entry: what became of a placement.
    Report(TaskReport),
    /// Sidecar to entry: the minion, or that there is none.
    Minion(Option<MinionProfile>),
}

/// An order to run a task.
#[message]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// Which placement of it this is.
    pub attempt: Attempt,
    /// What the task takes up.
    pub room: Room,
    /// The caller's estimate of its run time.
    pub estimate: Duration,
    /// Whether the run may be stopped when it seems to stand still. Not once the task has been
    /// moved: then its estimate is to blame.
    pub is_movable: bool,
    /// The service whose minion has to run it.
    pub service: ServiceName,
    /// What the caller wants to be run.
    pub spec: String,
    /// The newest stamp of the sidecar that the entry knew; an old one makes the order void.
    pub sidecar_stamp_ms: StampMs,
    /// The lowest number that the run may have.
    pub run_number: RunNumber,
}

/// What became of a placement.
#[message]
pub struct TaskReport {
    /// The task.
    pub task: TaskName,
    /// Which placement of it.
    pub attempt: Attempt,
    /// The outcome.
    pub outcome: PlacementOutcome,
}

/// The end of a placement.
#[message]
#[derive(Copy)]
pub enum PlacementOutcome {
    /// The task did not begin, and will not.
    Refused(RefusalCause),
    /// It began, and has ended.
    Ended {
        /// How.
        end: RunEnd,
        /// How long it ran.
        run_time: Duration,
    },
}

/// Why a sidecar did not start a task.
#[key]
pub enum RefusalCause {
    /// It does not fit beside what runs.
    NoRoom,
    /// The minion is about to leave, or the sidecar is.
    Draining,
    /// There is no minion, or it can't be reached.
    NoMinion,
    /// The minion serves another service.
    OtherService,
    /// The order was too old when it arrived.
    Stale,
    /// The minion turned it down.
    Unhealthy,
}

/// How a run ended.
#[key]
pub enum RunEnd {
    /// With success.
    Done,
    /// By a fault of its own or of the minion.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out, or its minion went.
    Lost,
}

/// What a sidecar knows of its minion for longer.
#[message]
pub struct MinionProfile {
    /// The minion's name.
    pub instance: String,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// What it offers in all.
    pub capacity: Room,
    /// Its kind, its rack and whatever else marks it.
    pub labels: Vec<String>,
}

/// Whether a minion takes tasks.
#[key]
pub enum Condition {
    /// It does.
    Ready,
    /// It fails tasks of several jobs; it gets one at a time until one succeeds.
    Suspect,
    /// It takes none: it leaves, is not there or can't be reached.
    Unavailable,
}

/// The newest state of a sidecar; it is told anew all the time, so a lost one does not matter.
#[message]
#[derive(Copy)]
pub struct SidecarStatus {
    /// The room that is left.
    pub free: Room,
    /// Whether the minion takes tasks.
    pub condition: Condition,
    /// Run time over estimate of late, in thousandths.
    pub pace_permille: u32,
    /// How much longer a run takes of late, whatever its length, since orders to the minion and
    /// news of ends had to be repeated.
    pub delay_ms: u32,
    /// How many entries have had runs here of late.
    pub sharer_count: u32,
}
