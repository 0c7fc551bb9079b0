//! The messages of sessions between entries and sidecars.

use std::time::Duration;

use knapweedrill_derive::{key, message};

use super::{Attempt, QueueTag, Resources, RunNumber, TaskName};
use crate::common::ServiceName;

/// A time on the monotonic clock of a process, in milliseconds since its start.
pub type StampMs = u64;

/// The position in the operator's log up to which a set of evacuated failure domains is valid; 0
/// without any knowledge. The set with the higher revision is newer.
pub type EvacuationRevision = u64;

/// The role of a process, which decides its end of a session.
#[key]
pub enum Role {
    /// Accepts jobs from callers and places their tasks.
    Entry,
    /// Starts and stops tasks on one minion.
    Sidecar,
}

impl Role {
    /// Returns the role at the other end of a session.
    pub fn peer(self) -> Self {
        match self {
            Self::Entry => Self::Sidecar,
            Self::Sidecar => Self::Entry,
        }
    }
}

/// A message that a session delivers exactly once and in order while both processes run.
#[message]
pub enum Message {
    /// Entry to sidecar: starts a task.
    Start(StartOrder),
    /// Entry to sidecar: ends a placement of a task.
    Stop {
        /// The task.
        task: TaskName,
        /// The placement of the task.
        attempt: Attempt,
    },
    /// Sidecar to entry: the outcome of a placement.
    Report(TaskReport),
    /// Sidecar to entry: the profile of the minion, or `None` if the sidecar has no minion.
    Minion(Option<MinionProfile>),
    /// Entry to sidecar: takes the place of a start order that was void before it had arrived. The
    /// sidecar answers as to a stale order.
    Withdrawn {
        /// The task.
        task: TaskName,
        /// The placement of the task that the order would have made.
        attempt: Attempt,
    },
    /// Entry to sidecar: whether the failure domain of the minion is evacuated.
    Evacuation {
        /// The revision of the sender's knowledge.
        revision: EvacuationRevision,
        /// Whether the failure domain is evacuated.
        is_evacuated: bool,
    },
}

/// An order to run a task.
#[message]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The placement of the task that this order makes.
    pub attempt: Attempt,
    /// The resources that the task needs.
    pub resources: Resources,
    /// The caller's estimate of the run time.
    pub estimate: Duration,
    /// Whether the sidecar may stop the run if it stalls, so that the task is placed elsewhere.
    /// False once the task has been moved too often: its estimate is the likely cause then.
    pub is_movable: bool,
    /// The queue of the job.
    pub queue: QueueTag,
    /// Whether the job is on trial because it may crash the minion. The sidecar refuses it while
    /// another job runs there.
    pub is_trial: bool,
    /// The service that the minion has to belong to.
    pub service: ServiceName,
    /// A label that the minion must have.
    pub required_label: Option<String>,
    /// The work to run, as given by the caller and passed on to the minion.
    pub spec: String,
    /// The newest stamp of the sidecar that the entry had received. The sidecar refuses the order
    /// if the stamp is too old.
    pub sidecar_stamp_ms: StampMs,
    /// The lowest run number that the sidecar may use for the run.
    pub run_number: RunNumber,
}

/// The report of a sidecar on a placement.
#[message]
pub struct TaskReport {
    /// The task.
    pub task: TaskName,
    /// The placement of the task.
    pub attempt: Attempt,
    /// The outcome of the placement.
    pub outcome: PlacementOutcome,
}

/// The outcome of a placement.
#[message]
#[derive(Copy)]
pub enum PlacementOutcome {
    /// The task was not started, and this placement will never start it.
    Refused(RefusalCause),
    /// The task was started, and its run has ended.
    Ended {
        /// How the run ended.
        end: RunEnd,
        /// The duration of the run.
        run_time: Duration,
    },
}

/// Why a sidecar did not start a task.
#[key]
pub enum RefusalCause {
    /// The task does not fit into the free resources of the minion.
    NoRoom,
    /// The minion or the sidecar is draining.
    Draining,
    /// The sidecar has no minion, or can't reach it.
    NoMinion,
    /// The minion belongs to another service.
    OtherService,
    /// The minion does not have the label that the task requires.
    OtherLabels,
    /// The stamp in the order was too old on arrival.
    Stale,
    /// The minion rejected the start.
    Unhealthy,
    /// The job is on trial, and another job runs there.
    NotAlone,
    /// The failure domain of the minion is evacuated.
    Evacuated,
}

/// How a run ended.
#[key]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The task or its minion failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease of the run expired, or its minion disappeared.
    Lost,
    /// The minion crashed during the run.
    Crashed,
    /// The minion crashed and may have started the run before, but never confirmed it.
    CrashedUnconfirmed,
}

/// The properties of a minion that seldom change.
#[message]
pub struct MinionProfile {
    /// The name of the minion.
    pub instance: String,
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The total resources of the minion.
    pub capacity: Resources,
    /// The labels of the minion, such as its kind and its rack.
    pub labels: Vec<String>,
    /// The failure domain of the minion; empty if it is not known.
    pub failure_domain: String,
}

impl MinionProfile {
    /// Returns whether the minion has a label, if one is required.
    pub fn has_label(&self, required: Option<&str>) -> bool {
        required.is_none_or(|required| self.labels.iter().any(|label| label == required))
    }
}

/// Whether a minion accepts tasks.
#[key]
pub enum MinionAvailability {
    /// The minion accepts tasks.
    Ready,
    /// The minion has failed tasks of several jobs. It gets one task at a time until one succeeds.
    Suspect,
    /// The minion accepts no tasks: it is draining, absent or unreachable.
    Unavailable,
    /// The minion accepts no tasks because its failure domain is evacuated.
    Evacuated,
}

impl MinionAvailability {
    /// Returns whether the minion accepts tasks.
    pub fn takes_tasks(self) -> bool {
        match self {
            Self::Ready | Self::Suspect => true,
            Self::Unavailable | Self::Evacuated => false,
        }
    }
}

/// The crashes of the minion that the sidecar has seen while runs were there.
#[message]
#[derive(Copy, Default)]
pub struct CrashRecord {
    /// The number of crashes.
    pub count: u32,
    /// The queue whose run is the likely cause of the last one, if there was one.
    pub queue: Option<QueueTag>,
    /// The number of jobs on trial whose runs there have ended without a crash.
    pub passed_count: u32,
}

/// The current status of a sidecar. Every datagram of a session repeats it, so that a lost one does
/// no harm.
#[message]
#[derive(Copy)]
pub struct SidecarStatus {
    /// The resources of the minion that are not in use.
    pub free: Resources,
    /// Whether the minion accepts tasks.
    pub availability: MinionAvailability,
    /// The recent ratio of run time to estimate, in thousandths.
    pub pace_permille: u32,
    /// The recent extra time of a run, in milliseconds and independent of its length, caused by
    /// retries of start orders and of the calls that report ends.
    pub delay_ms: u32,
    /// The number of entries that have recently ordered runs at this sidecar.
    pub recent_entry_count: u32,
    /// The crashes of the minion.
    pub crashes: CrashRecord,
}
