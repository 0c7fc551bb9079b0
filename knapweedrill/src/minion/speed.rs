//! How fast a minion is, learned from what it ran.

use std::time::Duration;

/// The least and greatest speed that is believed, where 1 is the speed of the reference minion.
const SPEED_RANGE: (f64, f64) = (0.01, 100.0);

/// How many observations the announced speed counts for.
const HINT_WEIGHT_COUNT: f64 = 2.0;

/// The number of observations that the mean looks back over.
const MEMORY_COUNT: f64 = 50.0;

/// How far one observation may lie from the mean, as a logarithm, before it is cut.
const OUTLIER_LOG: f64 = 2.3;

/// How fast a minion is.
///
/// The speed is the geometric mean of expected over measured run times, so that expectations
/// which are too long as often as too short cancel out, and one wild task moves little.
#[derive(Debug, Clone, PartialEq)]
pub struct MinionSpeed {
    log_speed: f64,
    observed_count: f64,
}

impl MinionSpeed {
    /// Creates the speed of a minion that claims `hint_percent` of the reference speed, 0 for none.
    pub fn new(hint_percent: u32) -> Self {
        let speed = match hint_percent {
            0 => 1.0,
            percent => f64::from(percent) / 100.0,
        };
        Self {
            log_speed: clamp(speed).ln(),
            observed_count: HINT_WEIGHT_COUNT,
        }
    }

    /// Learns from a task that was expected to run for `expected` on a minion of speed 1.
    pub fn observe(&mut self, expected: Duration, run_time: Duration) {
        if expected.is_zero() || run_time.is_zero() {
            return;
        }
        let observed = clamp(expected.as_secs_f64() / run_time.as_secs_f64()).ln();
        let distance = (observed - self.log_speed).clamp(-OUTLIER_LOG, OUTLIER_LOG);
        self.observed_count = (self.observed_count + 1.0).min(MEMORY_COUNT);
        self.log_speed += distance / self.observed_count;
    }

    /// Returns the speed, where 1 is that of the reference minion.
    pub fn factor(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Returns the speed in per cent of that of the reference minion; never 0.
    pub fn percent(&self) -> u32 {
        (self.factor() * 100.0).round().max(1.0) as u32
    }
}

fn clamp(speed: f64) -> f64 {
    speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
}
