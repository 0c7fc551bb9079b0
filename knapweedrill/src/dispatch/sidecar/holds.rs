//! The waiting calls that renew the lease and tell what has ended.

use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::CallNumber;

/// After how many calls without an answer the minion counts as out of reach and its lease is no
/// longer renewed. While a quarter of the answers is lost, three in a row are under two in a
/// hundred.
const FAILURES_MAX: u32 = 3;

/// How often the pause after a call without an answer doubles, up to a third of a lease: a minion
/// that is back registers, and one that only kept silent should be noticed before long.
const PAUSE_DOUBLINGS_MAX: u32 = 3;

/// A call that has no answer yet.
#[derive(Debug)]
pub(super) struct PendingHold {
    call: CallNumber,
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// Whether nothing ran when it was sent; it may then wait longer than a lease lasts.
    is_idle: bool,
}

/// The waiting calls that renew the lease and tell what has ended; one at a time.
#[derive(Debug, Default)]
pub(super) struct Holds {
    pending: Option<PendingHold>,
    /// How many calls in a row had no answer.
    failure_count: u32,
    /// When the last call without an answer was given up.
    failed_at: Option<Instant>,
    /// When the first of the calls in a row without an answer was sent.
    unheard_since: Option<Instant>,
    next_at: Option<Instant>,
}

impl Holds {
    /// Forgets the minion.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Gives the call under way up and asks for another one now.
    pub(super) fn ask_at(&mut self, at: Instant) {
        self.pending = None;
        self.next_at = Some(at);
    }

    /// Returns whether a call is under way.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether the minion has answered of late.
    pub(super) fn is_reached(&self) -> bool {
        self.failure_count < FAILURES_MAX
    }

    /// Returns whether the last call had no answer.
    pub(super) fn is_failing(&self) -> bool {
        self.failure_count > 0
    }

    /// Returns whether another call is due.
    pub(super) fn is_due(&mut self, has_runs: bool, now: Instant) -> bool {
        if self
            .pending
            .take_if(|hold| hold.is_idle && has_runs)
            .is_some()
        {
            // The lease of the new runs would end before that call does.
            self.next_at = Some(now);
        }
        self.pending.is_none() && self.next_at.is_some_and(|at| at <= now)
    }

    /// Returns how long the minion may wait for an end before it answers.
    pub(super) fn wait(
        &self,
        settings: &SidecarSettings,
        has_runs: bool,
        now: Instant,
    ) -> Duration {
        if self.is_failing() {
            return Duration::ZERO;
        }
        if !has_runs {
            return settings.idle_hold_wait;
        }
        // While answers get lost, ends are seen only with the call after a lost one.
        let loses_answers = self
            .failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < settings.lossy_for);
        if loses_answers {
            settings.lossy_hold_wait
        } else {
            settings.hold_wait
        }
    }

    /// Takes in that a call was sent.
    pub(super) fn sent(&mut self, call: CallNumber, is_idle: bool, now: Instant) {
        self.pending = Some(PendingHold {
            call,
            sent_at: now,
            is_idle,
        });
    }

    /// Returns the call that was answered, or given up, if it is the one under way.
    pub(super) fn take(&mut self, call: CallNumber) -> Option<PendingHold> {
        self.pending.take_if(|hold| hold.call == call)
    }

    /// Returns for how long ends were not heard of when a call is answered; nothing if the call before
    /// it was answered as well.
    pub(super) fn unheard_for(&self, now: Instant) -> Duration {
        self.unheard_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Takes in an answer; returns whether the minion was out of reach before.
    pub(super) fn answered(&mut self, now: Instant) -> bool {
        let was_reached = self.is_reached();
        self.failure_count = 0;
        self.unheard_since = None;
        self.next_at = Some(now);
        !was_reached
    }

    /// Takes in that a call had no answer; returns whether the minion is out of reach from now on.
    pub(super) fn failed(
        &mut self,
        hold: &PendingHold,
        settings: &SidecarSettings,
        now: Instant,
    ) -> bool {
        self.unheard_since.get_or_insert(hold.sent_at);
        self.failure_count += 1;
        self.failed_at = Some(now);
        let doublings = (self.failure_count - 1).min(PAUSE_DOUBLINGS_MAX);
        self.next_at = Some(now + settings.hold_pause * 2_u32.pow(doublings));
        self.failure_count == FAILURES_MAX
    }
}
