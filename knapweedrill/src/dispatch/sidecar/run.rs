//! A run that a sidecar has ordered.

use std::time::{Duration, Instant};

use super::action::RunKey;
use crate::common::Incarnation;
use crate::dispatch::message::{PlacementOutcome, RefusalCause, RunEnd};
use crate::dispatch::{Attempt, Room};

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order to start it has no answer yet.
    Starting,
    /// The minion has taken it at that time.
    Running(Instant),
    /// The order to stop it has no answer yet.
    Stopping,
    /// The order to stop it was answered at that time.
    Stopped(Instant),
}

/// A run from its order to its end.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) key: RunKey,
    pub(super) owner: Incarnation,
    pub(super) attempt: Attempt,
    pub(super) room: Room,
    pub(super) spec: String,
    pub(super) estimate: Duration,
    pub(super) ordered_at: Instant,
    pub(super) phase: Phase,
    /// How many orders to start it had no answer.
    pub(super) unanswered_count: u32,
    /// How many orders to start it were given.
    pub(super) order_count: u32,
    /// What the entry is told once the run is known to be over, if that is settled.
    pub(super) outcome: Option<PlacementOutcome>,
}

impl Run {
    pub(super) fn ended(&self, end: RunEnd, now: Instant) -> PlacementOutcome {
        PlacementOutcome::Ended {
            end,
            run_time: now.saturating_duration_since(self.ordered_at),
        }
    }

    /// Returns what to say of a run that the minion does not have, although it may have had it.
    pub(super) fn absent(&self, now: Instant) -> PlacementOutcome {
        if let Some(outcome) = self.outcome {
            return outcome;
        }
        match self.phase {
            Phase::Starting if self.unanswered_count == 0 => {
                PlacementOutcome::Refused(RefusalCause::NoMinion)
            }
            Phase::Starting | Phase::Running(_) => self.ended(RunEnd::Lost, now),
            Phase::Stopping | Phase::Stopped(_) => self.ended(RunEnd::Stopped, now),
        }
    }
}
