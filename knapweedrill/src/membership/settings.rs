//! Settings of membership.

use std::time::Duration;

/// Settings of membership.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    pub(super) heartbeat_period: Duration,
    pub(super) sidecar_beat_period: Duration,
    pub(super) deviations_count: f64,
    pub(super) suspicion_floor: Duration,
    pub(super) suspicion_ceiling: Duration,
    pub(super) targets_max_count: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_millis(400),
            sidecar_beat_period: Duration::from_secs(2),
            deviations_count: 4.0,
            suspicion_floor: Duration::from_millis(1200),
            suspicion_ceiling: Duration::from_secs(10),
            targets_max_count: 8,
        }
    }
}

/// Sending.
impl MembershipSettings {
    /// Sets the time between two heartbeats to entries.
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.heartbeat_period = period;
        self
    }

    /// Sets the time between two heartbeats of an entry to a sidecar.
    pub fn sidecar_beat_period(mut self, period: Duration) -> Self {
        self.sidecar_beat_period = period;
        self
    }

    /// Sets how many entries get each heartbeat; beyond it a sidecar chooses some of them.
    pub fn targets_max_count(mut self, count: usize) -> Self {
        self.targets_max_count = count;
        self
    }
}

/// Suspicion.
impl MembershipSettings {
    /// Sets how many deviations above the mean spacing a silence is suspect.
    pub fn deviations_count(mut self, count: f64) -> Self {
        self.deviations_count = count;
        self
    }

    /// Sets the shortest and the longest silence that is suspect.
    ///
    /// # Panics
    ///
    /// Panics if `floor` is longer than `ceiling`.
    pub fn suspicion_bounds(mut self, floor: Duration, ceiling: Duration) -> Self {
        assert!(floor <= ceiling, "the floor lies above the ceiling");
        self.suspicion_floor = floor;
        self.suspicion_ceiling = ceiling;
        self
    }
}
