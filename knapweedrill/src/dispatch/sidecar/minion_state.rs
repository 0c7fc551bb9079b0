//! The state of one incarnation of a minion.

use std::time::{Duration, Instant};

use super::known_minion::KnownMinion;
use super::{MinionHeartbeat, SidecarSettings};
use crate::dispatch::message::{MinionProfile, StampMs};
use crate::dispatch::run_timing::clock_drift;
use crate::dispatch::units::millis;

/// Upper limit of a plausible reading of a minion's monotonic clock, in milliseconds: 100 years.
const CLOCK_MAX_MS: StampMs = 100 * 365 * 24 * 60 * 60 * 1_000;

/// How far the number of an ended run may be ahead of the acknowledged one.
const END_NUMBER_STEP_MAX: u64 = 100_000;

/// How many runs a minion can have ended for each millisecond on its clock. Bounds the first number
/// that a sidecar process sees, since the minion may have run longer than the process.
const ENDS_PER_CLOCK_MS_MAX: u64 = 10;

/// How many newer heartbeats may overtake a late one. A sequence number that is further behind the
/// newest means that the newest was odd.
const LATE_HEARTBEAT_COUNT_MAX: u64 = 64;

/// What the sidecar knows of one incarnation of its minion.
#[derive(Debug)]
pub(super) struct MinionState {
    pub(super) profile: MinionProfile,
    pub(super) started_unix_ms: u64,
    sequence: u64,
    /// Whether the profile was sent by this incarnation.
    pub(super) is_profile_current: bool,
    /// Whether it is only known from the record of an earlier sidecar process, and has not shown yet
    /// that it is still there.
    pub(super) is_restored: bool,
    pub(super) is_draining: bool,
    /// Whether this incarnation has deregistered and is about to end, with all its runs.
    pub(super) has_left: bool,
    /// The last reading of the minion's clock and when the answer that carried it arrived.
    clock: Option<(StampMs, Instant)>,
    /// Number of the last ended run that was processed.
    pub(super) acknowledged_end: u64,
    /// Whether it may list ends of runs of an earlier sidecar process, which can have the names and
    /// numbers of new runs.
    pub(super) has_unread_ends: bool,
    /// The latest lease end that any order carried, on the minion's clock.
    lease_end_ms: StampMs,
    /// Whether this incarnation has answered a call with a fencing token of its own, after which it
    /// refuses orders to earlier incarnations.
    is_fenced: bool,
    /// The latest lease end that orders to earlier incarnations may have granted this one, on its
    /// clock.
    inherited_lease_end_ms: StampMs,
    /// Whether such a lease may last longer than a new one, and with it any run.
    pub(super) has_inherited_lease: bool,
}

impl MinionState {
    pub(super) fn new(heartbeat: MinionHeartbeat) -> Self {
        Self {
            profile: heartbeat.profile,
            started_unix_ms: heartbeat.started_unix_ms,
            sequence: heartbeat.sequence,
            is_profile_current: true,
            is_restored: false,
            is_draining: heartbeat.is_draining,
            has_left: false,
            clock: None,
            acknowledged_end: 0,
            has_unread_ends: true,
            lease_end_ms: 0,
            is_fenced: true,
            inherited_lease_end_ms: 0,
            has_inherited_lease: false,
        }
    }

    /// Creates the state of an incarnation that an earlier sidecar process has recorded.
    pub(super) fn restored(known: KnownMinion) -> Self {
        let heartbeat = MinionHeartbeat {
            profile: known.profile,
            started_unix_ms: known.started_unix_ms,
            sequence: 0,
            is_draining: false,
        };
        Self {
            is_profile_current: false,
            is_restored: true,
            ..Self::new(heartbeat)
        }
    }

    /// Handles the start time in an answer to a hold call, while the incarnation is only known from a
    /// record. Returns whether the recorded incarnation has answered.
    pub(super) fn confirm_restored(&mut self, started_unix_ms: u64) -> bool {
        // Without a start time, the answer may be that of a later incarnation with another profile.
        let is_same = started_unix_ms != 0 && started_unix_ms == self.started_unix_ms;
        if is_same {
            self.is_restored = false;
            self.is_profile_current = true;
        }
        is_same
    }

    /// Returns whether a heartbeat belongs to a later incarnation.
    pub(super) fn is_superseded_by(&self, heartbeat: &MinionHeartbeat) -> bool {
        match heartbeat.started_unix_ms.cmp(&self.started_unix_ms) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => heartbeat.profile.instance != self.profile.instance,
            std::cmp::Ordering::Less => false,
        }
    }

    /// Resets the state after a restart of the minion under the same instance name: the new
    /// incarnation has no state, and its clock and the numbers of its ended runs start again.
    pub(super) fn reset_for_restart(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = started_unix_ms;
        self.sequence = 0;
        self.is_profile_current = false;
        self.has_left = false;
        self.clock = None;
        self.acknowledged_end = 0;
        self.lease_end_ms = 0;
        self.is_fenced = false;
        self.has_inherited_lease = true;
    }

    /// Records that the minion has answered a call that was sent after its restart was noticed.
    /// Called after the reading of its clock in the answer was taken over, if it was plausible.
    ///
    /// Orders to earlier incarnations carry ends on the clocks of those, which the minion shortens
    /// to `lease_max`. It has carried out the last of them before this answer.
    pub(super) fn confirm_fence(&mut self, lease_max: Duration) {
        let Some((clock_ms, _)) = self.clock.filter(|_| !self.is_fenced) else {
            return;
        };
        self.is_fenced = true;
        self.inherited_lease_end_ms = clock_ms.saturating_add(millis(lease_max));
        self.extend_lease(self.inherited_lease_end_ms);
    }

    /// Notes that this incarnation, after it had answered a call of this process, has carried out an
    /// order of another process, which may have granted a lease up to the longest one.
    pub(super) fn note_foreign_order(&mut self) {
        if self.clock.is_some() {
            self.is_fenced = false;
            self.has_inherited_lease = true;
        }
    }

    /// Notes when a lease that an order to an earlier incarnation may have granted no longer lasts
    /// longer than a new one.
    pub(super) fn expire_inherited_lease(&mut self, settings: &SidecarSettings, now: Instant) {
        let new_end_ms = self.new_lease_end_ms(settings, now);
        let inherited_end_ms = self.inherited_lease_end_ms;
        let has_expired = new_end_ms.is_some_and(|end_ms| end_ms >= inherited_end_ms);
        self.has_inherited_lease &= !self.is_fenced || !has_expired;
    }

    /// Applies a heartbeat of this incarnation and returns whether the profile or the draining
    /// state changed.
    pub(super) fn update(&mut self, heartbeat: MinionHeartbeat) -> bool {
        let is_older = heartbeat.started_unix_ms < self.started_unix_ms
            || (heartbeat.sequence <= self.sequence
                && self.sequence - heartbeat.sequence < LATE_HEARTBEAT_COUNT_MAX);
        if is_older {
            return false;
        }
        self.is_profile_current = true;
        self.sequence = heartbeat.sequence;
        let has_changed =
            self.profile != heartbeat.profile || self.is_draining != heartbeat.is_draining;
        self.profile = heartbeat.profile;
        self.is_draining = heartbeat.is_draining;
        has_changed
    }

    /// Acknowledges an ended run and those before it, which the minion then forgets. A number that is
    /// too far ahead to be plausible is ignored, since the minion would forget runs that have not been
    /// reported.
    pub(super) fn acknowledge_end(&mut self, number: u64, now: Instant) {
        let number_max = match self.acknowledged_end {
            0 => self
                .clock_ms(now)
                .unwrap_or(0)
                .saturating_mul(ENDS_PER_CLOCK_MS_MAX)
                .max(END_NUMBER_STEP_MAX),
            acknowledged => acknowledged.saturating_add(END_NUMBER_STEP_MAX),
        };
        if number > number_max {
            log::warn!(number, number_max; "number of an ended run out of range, it is not acknowledged");
            return;
        }
        self.acknowledged_end = self.acknowledged_end.max(number);
    }

    pub(super) fn set_clock(&mut self, clock_ms: StampMs, now: Instant) {
        if clock_ms > CLOCK_MAX_MS {
            log::warn!(clock_ms; "minion clock out of range, reading ignored");
            return;
        }
        // Answers may arrive out of order; the clock is monotonic. The extrapolation of the last
        // reading is no measure: on a slow clock every reading is behind it.
        if self.clock.is_none_or(|(known_ms, _)| clock_ms > known_ms) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Replaces the estimate of the clock by a reading in the answer to a hold call that was sent at
    /// `sent_at`, even if it is behind: at most one such call is in flight, so these readings are in
    /// order.
    pub(super) fn correct_clock(
        &mut self,
        clock_ms: StampMs,
        lease_max: Duration,
        sent_at: Instant,
        now: Instant,
    ) {
        if let Some(known_ms) = self.clock_ms(now).filter(|known_ms| clock_ms < *known_ms) {
            self.clock = None;
            // The answer may have been read late, after orders that the minion has yet to receive.
            let latest_ms = clock_ms + millis(now.saturating_duration_since(sent_at)) + 1;
            if known_ms > latest_ms {
                // An odd reading was ahead. The minion has shortened a lease that ended later.
                let end_max_ms = clock_ms.saturating_add(millis(lease_max));
                self.lease_end_ms = self.lease_end_ms.min(end_max_ms);
                self.inherited_lease_end_ms = self.inherited_lease_end_ms.min(end_max_ms);
            }
        }
        self.set_clock(clock_ms, now);
    }

    pub(super) fn is_clock_known(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns a lower bound of the minion's clock; the clock may be ahead of it by the time that
    /// the last reading took to arrive, and by its drift since then.
    pub(super) fn clock_ms(&self, now: Instant) -> Option<StampMs> {
        let (clock_ms, at) = self.clock?;
        let age = now.saturating_duration_since(at);
        Some(clock_ms + millis(age.saturating_sub(clock_drift(age))))
    }

    /// Returns by how much the estimate of the minion's clock is ahead of a reading that has just
    /// arrived. More than a few milliseconds mean that leases are longer than intended.
    pub(super) fn clock_lead(&self, clock_ms: StampMs, now: Instant) -> Duration {
        let estimate_ms = self.clock_ms(now).unwrap_or(clock_ms);
        Duration::from_millis(estimate_ms.saturating_sub(clock_ms))
    }

    /// Returns how long the last lease lasts from now on, by the estimate of the minion's clock.
    pub(super) fn lease_left(&self, now: Instant) -> Duration {
        let clock_ms = self.clock_ms(now).unwrap_or(self.lease_end_ms);
        Duration::from_millis(self.lease_end_ms.saturating_sub(clock_ms))
    }

    /// Returns the end of a lease that begins now, on the minion's clock.
    pub(super) fn new_lease_end_ms(
        &self,
        settings: &SidecarSettings,
        now: Instant,
    ) -> Option<StampMs> {
        Some(self.clock_ms(now)? + millis(settings.lease))
    }

    /// Returns the latest lease end that any order carried, on the minion's clock.
    pub(super) fn lease_end_ms(&self) -> StampMs {
        self.lease_end_ms
    }

    /// Records a lease end that an order carries.
    pub(super) fn extend_lease(&mut self, end_ms: StampMs) {
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    /// Returns whether the last lease has expired and the minion has ended all runs, even if nobody
    /// reaches it any more.
    pub(super) fn have_all_runs_ended(&self, settings: &SidecarSettings, now: Instant) -> bool {
        let ended_ms = self.lease_end_ms + millis(settings.run_stop_time_max);
        let clock_ms = self.clock_ms(now);
        self.is_fenced && clock_ms.is_some_and(|clock_ms| clock_ms >= ended_ms)
    }
}
