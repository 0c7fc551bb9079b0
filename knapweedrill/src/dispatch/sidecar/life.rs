//! One life of a minion, as its sidecar knows it.

use std::time::{Duration, Instant};

use super::{MinionReport, SidecarSettings};
use crate::dispatch::message::{MinionProfile, StampMs};
use crate::dispatch::run_timing::CLOCK_DRIFT_PERMILLE;
use crate::dispatch::units::millis;

/// The furthest that a minion's steady clock can be, in milliseconds: a hundred years.
const CLOCK_MAX_MS: StampMs = 100 * 365 * 24 * 60 * 60 * 1_000;

/// One life of a minion.
#[derive(Debug)]
pub(super) struct Life {
    pub(super) profile: MinionProfile,
    pub(super) born_ms: u64,
    sequence: u64,
    /// Whether the profile is that of this life.
    pub(super) is_reported: bool,
    pub(super) is_draining: bool,
    /// The minion's clock, and when the answer that told it arrived.
    clock: Option<(StampMs, Instant)>,
    /// The ends up to this number have been taken note of.
    pub(super) seen: u64,
    /// The latest end of the lease that any order named.
    lease_end_ms: StampMs,
}

impl Life {
    pub(super) fn new(report: MinionReport) -> Self {
        Self {
            profile: report.profile,
            born_ms: report.born_ms,
            sequence: report.sequence,
            is_reported: true,
            is_draining: report.is_draining,
            clock: None,
            seen: 0,
            lease_end_ms: 0,
        }
    }

    /// Returns whether a heartbeat belongs to a later life.
    pub(super) fn is_followed_by(&self, report: &MinionReport) -> bool {
        match report.born_ms.cmp(&self.born_ms) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => report.profile.instance != self.profile.instance,
            std::cmp::Ordering::Less => false,
        }
    }

    /// Turns this life into the one that follows it under the same name: it knows nothing of
    /// before, and its clock and numbers begin anew.
    pub(super) fn begin_again(&mut self, born_ms: u64, lease_max: Duration) {
        self.born_ms = born_ms;
        self.sequence = 0;
        self.is_reported = false;
        self.clock = None;
        self.seen = 0;
        // Orders of the old life may have reached the new one, which cut their lease to this.
        self.lease_end_ms = millis(lease_max);
    }

    /// Takes in a heartbeat of this life and returns whether it changed anything that matters.
    pub(super) fn update(&mut self, report: MinionReport) -> bool {
        let is_older = report.born_ms < self.born_ms || report.sequence <= self.sequence;
        if is_older {
            return false;
        }
        self.is_reported = true;
        self.sequence = report.sequence;
        let has_changed = self.profile != report.profile || self.is_draining != report.is_draining;
        self.profile = report.profile;
        self.is_draining = report.is_draining;
        has_changed
    }

    pub(super) fn set_clock(&mut self, clock_ms: StampMs, now: Instant) {
        if clock_ms > CLOCK_MAX_MS {
            log::warn!(clock_ms; "clock of the minion is out of range and not believed");
            return;
        }
        // Answers may overtake each other; the clock never goes back.
        if self.clock_ms(now).is_none_or(|known| clock_ms > known) {
            self.clock = Some((clock_ms, now));
        }
    }

    pub(super) fn clock_known(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the minion's clock, as far as it is known; it may be a little further.
    pub(super) fn clock_ms(&self, now: Instant) -> Option<StampMs> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + millis(now.saturating_duration_since(at)))
    }

    /// Returns a new end of the lease and remembers it.
    pub(super) fn extend_lease(
        &mut self,
        settings: &SidecarSettings,
        now: Instant,
    ) -> Option<StampMs> {
        let end_ms = self.clock_ms(now)? + millis(settings.lease);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
        Some(end_ms)
    }

    /// Returns when the minion has ended all runs even if nobody reaches it any more.
    pub(super) fn lapses_at(&self, settings: &SidecarSettings) -> Option<Instant> {
        let (clock_ms, at) = self.clock?;
        let left = Duration::from_millis(self.lease_end_ms.saturating_sub(clock_ms));
        Some(at + left + left * CLOCK_DRIFT_PERMILLE / 1_000 + settings.stop_time)
    }
}
