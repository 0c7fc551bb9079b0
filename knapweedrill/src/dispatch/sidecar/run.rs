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
    pub(super) is_movable: bool,
    pub(super) ordered_at: Instant,
    pub(super) phase: Phase,
    /// How many orders to start it had no answer.
    pub(super) unanswered_count: u32,
    /// How many orders to start it were given.
    pub(super) order_count: u32,
}

/// How many times slower than its estimate a run may get on before it counts as standing still.
/// Estimates are off by less than a factor of three in all but a few of a thousand tasks, and the slowest
/// kind of minion takes half as long again.
const STALL_FACTOR: u128 = 5;

/// The share from which on a run is left to end where it is, in percent: to begin anew elsewhere
/// would seldom be sooner.
const NEARLY_DONE_PERCENT: u8 = 40;

/// How long a run is left alone before its progress is judged, beside half of its estimate: the
/// figures of the minion are a heartbeat of its lists old.
const STALL_GRACE: Duration = Duration::from_millis(60);

impl Run {
    /// Returns how long the run has lasted, as far as it is known: from the answer to its start on, or
    /// from the first order if there was none.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let since = match self.phase {
            Phase::Running(since) => since,
            Phase::Starting | Phase::Stopping | Phase::Stopped(_) => self.ordered_at,
        };
        now.saturating_duration_since(since)
    }

    /// Returns whether the run stands still, or nearly so, by the share that is done.
    pub(super) fn is_stalled(&self, percent: u8, now: Instant) -> bool {
        // From the answer on: an order that had to be repeated began late.
        let Phase::Running(since) = self.phase else {
            return false;
        };
        let age = now.saturating_duration_since(since);
        let is_judged = self.is_movable && percent < NEARLY_DONE_PERCENT;
        if !is_judged || age < self.estimate / 2 + STALL_GRACE {
            return false;
        }
        u128::from(percent) * STALL_FACTOR * self.estimate.as_millis() < 100 * age.as_millis()
    }

    pub(super) fn ended(&self, end: RunEnd, now: Instant) -> PlacementOutcome {
        PlacementOutcome::Ended {
            end,
            run_time: now.saturating_duration_since(self.ordered_at),
        }
    }

    /// Returns what to say of a run that the minion does not have, although it may have had it.
    pub(super) fn absent(&self, now: Instant) -> PlacementOutcome {
        match self.phase {
            Phase::Starting if self.unanswered_count == 0 => {
                PlacementOutcome::Refused(RefusalCause::NoMinion)
            }
            Phase::Starting | Phase::Running(_) => self.ended(RunEnd::Lost, now),
            Phase::Stopping | Phase::Stopped(_) => self.ended(RunEnd::Stopped, now),
        }
    }
}
