//! Suspicion that adapts to the spacing of heartbeats.

use std::time::{Duration, Instant};

use super::MembershipSettings;

/// The weight of a new spacing in the mean.
///
/// Source: Jacobson, "Congestion Avoidance and Control", 1988; the other weight too.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of a new spacing in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// When the heartbeats of one process arrived.
#[derive(Debug, Clone, Copy)]
pub struct Arrivals {
    last: Instant,
    mean_s: f64,
    deviation_s: f64,
}

impl Arrivals {
    /// Starts with a heartbeat at `now` and a guess of the spacing.
    pub fn new(expected: Duration, now: Instant) -> Self {
        Self {
            last: now,
            mean_s: expected.as_secs_f64(),
            deviation_s: expected.as_secs_f64(),
        }
    }

    /// Takes note of a heartbeat.
    pub fn arrived(&mut self, now: Instant) {
        let spacing_s = (now - self.last).as_secs_f64();
        let error_s = spacing_s - self.mean_s;
        self.mean_s += MEAN_WEIGHT * error_s;
        self.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - self.deviation_s);
        self.last = now;
    }

    /// Returns how long the process may be silent: mean and some deviations, within bounds.
    pub fn timeout(&self, settings: &MembershipSettings) -> Duration {
        let timeout_s = self.mean_s + settings.deviations_count * self.deviation_s;
        Duration::from_secs_f64(timeout_s)
            .clamp(settings.suspicion_floor, settings.suspicion_ceiling)
    }

    /// Returns whether the process has been silent for too long.
    pub fn is_suspect(&self, settings: &MembershipSettings, now: Instant) -> bool {
        now - self.last > self.timeout(settings)
    }
}
