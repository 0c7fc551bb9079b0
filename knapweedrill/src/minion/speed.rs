//! Speed estimate of a minion, based on the run times of its tasks.

use std::time::Duration;

/// The minimum and maximum of the estimate, where 1 is the speed of the reference minion.
const SPEED_RANGE: (f64, f64) = (0.01, 100.0);

/// The weight of the announced speed, in observations.
const HINT_WEIGHT_COUNT: f64 = 2.0;

/// The maximum weight of past observations; it turns the mean into a moving average.
const OBSERVATION_COUNT_MAX: f64 = 50.0;

/// The largest deviation of an observation from the mean, as a natural logarithm; larger ones are
/// clamped.
const LOG_DEVIATION_MAX: f64 = 2.3;

/// Estimates the speed of a minion.
///
/// The speed is the geometric mean of the ratios of expected to measured run times, so that
/// expectations which are too long as often as too short cancel out. Clamping limits the effect of
/// a single outlier.
#[derive(Debug, Clone, PartialEq)]
pub struct MinionSpeed {
    log_speed: f64,
    observed_count: f64,
}

impl MinionSpeed {
    /// Creates the estimate for a minion that claims `hint_percent` of the reference speed; 0 means
    /// no claim.
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

    /// Records the run time of a task that was expected to run for `expected` at speed 1.
    pub fn observe(&mut self, expected: Duration, run_time: Duration) {
        if expected.is_zero() || run_time.is_zero() {
            return;
        }
        let observed = clamp(expected.as_secs_f64() / run_time.as_secs_f64()).ln();
        let deviation = (observed - self.log_speed).clamp(-LOG_DEVIATION_MAX, LOG_DEVIATION_MAX);
        self.observed_count = (self.observed_count + 1.0).min(OBSERVATION_COUNT_MAX);
        self.log_speed += deviation / self.observed_count;
    }

    /// Returns the estimated speed, where 1 is the speed of the reference minion.
    pub fn factor(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Returns the estimated speed in percent of the reference minion; at least 1.
    pub fn percent(&self) -> u32 {
        (self.factor() * 100.0).round().max(1.0) as u32
    }
}

fn clamp(speed: f64) -> f64 {
    speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
}
