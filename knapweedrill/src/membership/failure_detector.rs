//! Adaptive failure detection based on heartbeat intervals.

use std::time::{Duration, Instant};

use super::MembershipSettings;

/// The weight of a new interval in the moving average.
///
/// Source of both weights: Jacobson, "Congestion Avoidance and Control", 1988.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of a new interval in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Detects the failure of one process from the intervals between its heartbeats.
#[derive(Debug, Clone, Copy)]
pub struct FailureDetector {
    last_heartbeat_at: Instant,
    mean_s: f64,
    deviation_s: f64,
}

impl FailureDetector {
    /// Creates a detector with a first heartbeat at `now` and an assumed interval.
    pub fn new(expected: Duration, now: Instant) -> Self {
        Self {
            last_heartbeat_at: now,
            mean_s: expected.as_secs_f64(),
            deviation_s: expected.as_secs_f64(),
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let interval_s = (now - self.last_heartbeat_at).as_secs_f64();
        let error_s = interval_s - self.mean_s;
        self.mean_s += MEAN_WEIGHT * error_s;
        self.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - self.deviation_s);
        self.last_heartbeat_at = now;
    }

    /// Returns the silence timeout: mean interval plus a multiple of the deviation, within bounds.
    pub fn timeout(&self, settings: &MembershipSettings) -> Duration {
        let timeout_s = self.mean_s + settings.deviation_factor * self.deviation_s;
        Duration::from_secs_f64(timeout_s).clamp(
            settings.suspicion_timeout_min,
            settings.suspicion_timeout_max,
        )
    }

    /// Returns whether the process has been silent for longer than the timeout.
    pub fn is_suspect(&self, settings: &MembershipSettings, now: Instant) -> bool {
        now - self.last_heartbeat_at > self.timeout(settings)
    }
}
