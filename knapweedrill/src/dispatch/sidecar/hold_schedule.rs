//! Scheduling of hold calls: long polls that renew the lease and report ended runs.

use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::{CallNumber, HoldCall, HoldFailure};

/// Number of consecutive hold calls without an answer before the minion can count as unreachable. A
/// pause of this process can make a single call look unanswered for long.
const FAILURE_COUNT_MIN: u32 = 3;

/// Time without an answer to any call after which the minion counts as unreachable and its lease is
/// no longer renewed. Less than half of a lease, and time for about ten calls of which half are
/// lost.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(200);

/// The longest interval between calls that fail at once, a third of a lease. A minion that restarted
/// registers by itself, but one that was only silent is detected by the next call, so the interval
/// stays short.
const RETRY_INTERVAL_MAX: Duration = Duration::from_millis(160);

/// A hold call without an answer yet.
#[derive(Debug)]
pub(super) struct PendingHold {
    call: CallNumber,
    pub(super) fencing_token: u64,
    pub(super) sent_at: Instant,
    /// How long the minion may delay its answer.
    pub(super) wait: Duration,
    /// How long to wait for the answer in addition.
    timeout: Duration,
    /// Whether nothing ran when it was sent; the call may then take longer than a lease.
    is_idle: bool,
}

/// Decides when the next hold call is sent; at most one is in flight.
#[derive(Debug, Default)]
pub(super) struct HoldSchedule {
    pending: Option<PendingHold>,
    /// Number of consecutive calls without an answer.
    failure_count: u32,
    /// When the last call without an answer failed.
    failed_at: Option<Instant>,
    /// When the first of the consecutive calls without an answer was sent.
    unanswered_since: Option<Instant>,
    is_unreachable: bool,
    /// Since when the connections for all calls have been refused.
    refused_since: Option<Instant>,
    /// Whether another incarnation answered the last call.
    is_displaced: bool,
    next_at: Option<Instant>,
    /// Whether the minion may have restarted unnoticed since the last answer: this process has stood
    /// still, another instance has reported, or the minion has refused the fencing token.
    needs_confirmation: bool,
}

impl HoldSchedule {
    /// Returns to the state before the first call to a minion.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Abandons the call in flight and schedules the next one for `at`.
    pub(super) fn reschedule(&mut self, at: Instant) {
        self.pending = None;
        self.next_at = Some(at);
    }

    /// Returns whether a call is in flight.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether the minion answers calls.
    pub(super) fn is_reachable(&self) -> bool {
        !self.is_unreachable
    }

    /// Returns whether the minion is unreachable because it refuses connections.
    pub(super) fn is_refusing(&self) -> bool {
        self.is_unreachable && self.refused_since.is_some()
    }

    /// Returns for how long the minion has refused connections.
    pub(super) fn refused_for(&self, now: Instant) -> Duration {
        self.refused_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether another incarnation is at the address of the minion.
    pub(super) fn is_displaced(&self) -> bool {
        self.is_displaced
    }

    /// Returns whether the last call had no answer.
    pub(super) fn is_failing(&self) -> bool {
        self.failure_count > 0
    }

    /// Returns whether the minion that answered the last call is known to be there still: a restart
    /// would have broken the call in flight.
    pub(super) fn is_incarnation_confirmed(&self) -> bool {
        !self.needs_confirmation && !self.is_failing()
    }

    /// Handles a pause of this process: abandons the call in flight, whose answer may be old, and
    /// schedules the next one.
    pub(super) fn handle_pause(&mut self, now: Instant) {
        if self.next_at.is_some() {
            self.needs_confirmation = true;
            self.reschedule(now);
        }
    }

    /// Schedules a call at once that shows which incarnation is there, unless one is in flight.
    pub(super) fn probe(&mut self, now: Instant) {
        if !self.needs_confirmation || !self.is_pending() {
            self.needs_confirmation = true;
            self.reschedule(now);
        }
    }

    /// Returns whether another call is due.
    pub(super) fn is_due(&mut self, has_runs: bool, now: Instant) -> bool {
        if self
            .pending
            .take_if(|hold| hold.is_idle && has_runs)
            .is_some()
        {
            // The lease of the new runs would expire before that call is answered.
            self.next_at = Some(now);
        }
        self.pending.is_none() && self.next_at.is_some_and(|at| at <= now)
    }

    /// Returns how long the minion may delay its answer until a run ends.
    pub(super) fn wait_max(
        &self,
        settings: &SidecarSettings,
        has_runs: bool,
        now: Instant,
    ) -> Duration {
        if !self.is_incarnation_confirmed() {
            return Duration::ZERO;
        }
        if !has_runs {
            return settings.idle_hold_wait;
        }
        // The ends of runs in a lost answer are reported again only by the next call.
        let loses_answers = self
            .failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < settings.lossy_window);
        if loses_answers {
            settings.lossy_hold_wait
        } else {
            settings.hold_wait
        }
    }

    /// Records that a call was sent.
    pub(super) fn record_sent(&mut self, call: &HoldCall, is_idle: bool, now: Instant) {
        self.pending = Some(PendingHold {
            call: call.call,
            fencing_token: call.fencing_token,
            sent_at: now,
            wait: Duration::from_millis(call.wait_ms),
            timeout: call.timeout,
            is_idle,
        });
    }

    /// Returns the call in flight if it has this number.
    pub(super) fn pending(&self, call: CallNumber) -> Option<&PendingHold> {
        self.pending.as_ref().filter(|hold| hold.call == call)
    }

    /// Records that the minion has refused the fencing token of the call in flight, and schedules the
    /// next one at once. It has carried out an order of another process, and may have restarted.
    pub(super) fn record_fenced(&mut self, now: Instant) {
        self.needs_confirmation = true;
        self.reschedule(now);
    }

    /// Removes and returns the call in flight if it has this number.
    pub(super) fn take_pending(&mut self, call: CallNumber) -> Option<PendingHold> {
        self.pending.take_if(|hold| hold.call == call)
    }

    /// Returns the time since the first of the consecutive calls without an answer was sent; zero
    /// if the last call was answered.
    pub(super) fn unanswered_for(&self, now: Instant) -> Duration {
        self.unanswered_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records an answer and returns whether the minion was unreachable before.
    pub(super) fn record_answer(&mut self, now: Instant) -> bool {
        self.failure_count = 0;
        self.refused_since = None;
        self.is_displaced = false;
        self.unanswered_since = None;
        self.needs_confirmation = false;
        self.next_at = Some(now);
        std::mem::take(&mut self.is_unreachable)
    }

    /// Records a call without an answer and returns whether it made the minion unreachable.
    /// `unanswered_for` is the time for which the minion has left calls of any kind unanswered.
    pub(super) fn record_failure(
        &mut self,
        hold: &PendingHold,
        failure: HoldFailure,
        unanswered_for: Duration,
        settings: &SidecarSettings,
        now: Instant,
    ) -> bool {
        self.unanswered_since.get_or_insert(hold.sent_at);
        self.failure_count += 1;
        self.failed_at = Some(now);
        // A call that timed out has already waited; one that was refused has not.
        let has_timed_out = now >= hold.sent_at + hold.wait + hold.timeout;
        let interval = unanswered_for.clamp(settings.hold_retry_interval, RETRY_INTERVAL_MAX);
        let is_refused = failure == HoldFailure::Refused && !has_timed_out;
        self.refused_since = is_refused.then(|| self.refused_since.unwrap_or(now));
        self.next_at = Some(if has_timed_out {
            now
        } else {
            hold.sent_at + interval
        });
        let was_reachable = self.is_reachable();
        // A refused connection leaves no doubt; a lost call may be followed by an answered one.
        let is_certain = !has_timed_out || unanswered_for >= UNREACHABLE_AFTER;
        self.is_displaced = failure == HoldFailure::OtherIncarnation;
        self.is_unreachable |=
            self.is_displaced || (self.failure_count >= FAILURE_COUNT_MIN && is_certain);
        was_reachable && self.is_unreachable
    }
}
