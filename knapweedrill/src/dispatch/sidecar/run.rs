//! A run that the sidecar has ordered from its minion.

use std::time::{Duration, Instant};

use super::action::RunKey;
use crate::common::Incarnation;
use crate::dispatch::message::{PlacementOutcome, RefusalCause, RunEnd};
use crate::dispatch::{Attempt, QueueTag, Resources};

/// The state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start order has no answer yet.
    Starting,
    /// The minion accepted the run at that time.
    Running(Instant),
    /// The stop order has no answer yet.
    Stopping,
    /// The stop order was answered at that time.
    Stopped(Instant),
}

/// A run from its order to its end.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) key: RunKey,
    pub(super) owner: Incarnation,
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) queue: QueueTag,
    /// Whether its job may crash the minion.
    pub(super) is_trial: bool,
    pub(super) spec: String,
    pub(super) estimate: Duration,
    pub(super) is_movable: bool,
    pub(super) ordered_at: Instant,
    pub(super) phase: Phase,
    /// Whether the minion has accepted it.
    pub(super) is_confirmed: bool,
    /// When its entry gave it up or was found to be gone, so that it has to end soon: the task may
    /// be started elsewhere.
    pub(super) abandoned_at: Option<Instant>,
    /// Number of start orders without an answer.
    pub(super) unanswered_count: u32,
    /// Number of start orders sent.
    pub(super) order_count: u32,
    /// Whether its next start order waits until the minion has answered a hold call.
    pub(super) is_order_deferred: bool,
}

/// How many times slower than its estimate a run may progress before it counts as stalled.
/// Estimates are off by less than a factor of three for all but a few tasks in a thousand, and the
/// slowest kind of minion takes another 50 % longer.
const STALL_FACTOR: u128 = 5;

/// Progress from which on a run is never moved, in percent: a restart elsewhere would rarely end
/// earlier.
const MOVABLE_BELOW_PERCENT: u8 = 40;

/// Time after the start, in addition to half of the estimate, before a run can count as stalled.
/// The progress that the minion reports is up to one refresh interval old.
const STALL_GRACE_PERIOD: Duration = Duration::from_millis(60);

impl Run {
    /// Returns the time since the minion accepted the run, or since the first start order in any
    /// other phase.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let since = match self.phase {
            Phase::Running(since) => since,
            Phase::Starting | Phase::Stopping | Phase::Stopped(_) => self.ordered_at,
        };
        now.saturating_duration_since(since)
    }

    /// Returns whether the minion may have started the run.
    pub(super) fn may_have_started(&self) -> bool {
        self.phase != Phase::Starting || self.unanswered_count > 0
    }

    /// Returns whether the run has stalled, given its progress in percent.
    pub(super) fn is_stalled(&self, percent: u8, now: Instant) -> bool {
        // Counted from the answer: a run whose start order was repeated began late.
        let Phase::Running(since) = self.phase else {
            return false;
        };
        let age = now.saturating_duration_since(since);
        let can_be_moved = self.is_movable && percent < MOVABLE_BELOW_PERCENT;
        if !can_be_moved || age < self.estimate / 2 + STALL_GRACE_PERIOD {
            return false;
        }
        u128::from(percent) * STALL_FACTOR * self.estimate.as_millis() < 100 * age.as_millis()
    }

    /// Returns whether its start order waits for the minion.
    pub(super) fn awaits_order(&self) -> bool {
        self.phase == Phase::Starting && self.is_order_deferred
    }

    /// Returns the outcome of a run that has ended.
    pub(super) fn outcome(&self, end: RunEnd, now: Instant) -> PlacementOutcome {
        PlacementOutcome::Ended {
            end,
            run_time: now.saturating_duration_since(self.ordered_at),
        }
    }

    /// Returns whether its entry has abandoned it and its stop order has no answer yet.
    pub(super) fn has_unconfirmed_stop(&self) -> bool {
        self.phase == Phase::Stopping && self.abandoned_at.is_some()
    }

    /// Returns how the run ended if its minion has crashed.
    pub(super) fn crash_end(&self) -> RunEnd {
        if self.is_confirmed {
            RunEnd::Crashed
        } else {
            RunEnd::CrashedUnconfirmed
        }
    }

    /// Returns the outcome of a run that the minion does not have, although it may have had it.
    pub(super) fn outcome_if_missing(&self, now: Instant) -> PlacementOutcome {
        match self.phase {
            Phase::Starting if self.unanswered_count == 0 => {
                PlacementOutcome::Refused(RefusalCause::NoMinion)
            }
            Phase::Starting | Phase::Running(_) => self.outcome(RunEnd::Lost, now),
            Phase::Stopping | Phase::Stopped(_) => self.outcome(RunEnd::Stopped, now),
        }
    }
}
