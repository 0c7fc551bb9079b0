use knapweedrill::dispatch::message::PlacementOutcome;
use knapweedrill::dispatch::{Attempt, TaskName};

/// A placement of a task by an entry.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) entry: u64,
    pub(super) task: TaskName,
    pub(super) attempt: Attempt,
    /// The sidecar process that got the order.
    pub(super) process: u64,
    /// Whether the sidecar has got the order.
    pub(super) is_received: bool,
    /// The outcome that the sidecar reported, and when.
    pub(super) reported: Option<(u64, PlacementOutcome)>,
    /// When its run had to begin to end: its stop arrived, its entry was silent for too long, or
    /// its sidecar was killed.
    pub(super) abandoned_ms: Option<u64>,
}
