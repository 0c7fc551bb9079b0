//! Settings of membership.

use std::time::Duration;

/// Heartbeat periods, failure detection and fan-out of membership.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    pub(super) heartbeat_period: Duration,
    pub(super) sidecar_heartbeat_period: Duration,
    pub(super) deviation_factor: f64,
    pub(super) suspicion_timeout_min: Duration,
    pub(super) suspicion_timeout_max: Duration,
    pub(super) target_count_max: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_millis(400),
            sidecar_heartbeat_period: Duration::from_secs(2),
            deviation_factor: 4.0,
            suspicion_timeout_min: Duration::from_millis(1200),
            suspicion_timeout_max: Duration::from_secs(10),
            target_count_max: 8,
        }
    }
}

/// Outgoing heartbeats.
impl MembershipSettings {
    /// Sets the interval between heartbeats to entries.
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.heartbeat_period = period;
        self
    }

    /// Sets the interval between heartbeats of an entry to the same sidecar.
    pub fn sidecar_heartbeat_period(mut self, period: Duration) -> Self {
        self.sidecar_heartbeat_period = period;
        self
    }

    /// Sets how many entries get each heartbeat; of more, a sidecar chooses a subset.
    pub fn target_count_max(mut self, count: usize) -> Self {
        self.target_count_max = count;
        self
    }
}

/// Failure detection.
impl MembershipSettings {
    /// Sets how many mean deviations are added to the mean interval to give the silence timeout.
    pub fn deviation_factor(mut self, factor: f64) -> Self {
        self.deviation_factor = factor;
        self
    }

    /// Sets the bounds of the silence timeout after which a process is suspect.
    ///
    /// # Panics
    ///
    /// Panics if `min` is longer than `max`.
    pub fn suspicion_timeout_bounds(mut self, min: Duration, max: Duration) -> Self {
        assert!(
            min <= max,
            "the minimum suspicion timeout {min:?} exceeds the maximum {max:?}"
        );
        self.suspicion_timeout_min = min;
        self.suspicion_timeout_max = max;
        self
    }
}
