//! Speed of a minion relative to the estimates of its runs.

use std::time::Duration;

/// Divisor of the exponential moving average: the newest run has a weight of 1/20. A full minion
/// ends about 40 runs per second, so a slowdown shows within half a second, while estimates that
/// are off by 40 % move the ratio by 6 %.
const NEWEST_WEIGHT_DIVISOR: u64 = 20;

/// Initial value of both averages, which makes the initial ratio 1.
const INITIAL_US: u64 = 200_000;

/// Lower and upper bound of one sample, in thousandths of its estimate. Limits the effect of
/// inaccurate estimates.
const SAMPLE_BOUNDS_PERMILLE: (u64, u64) = (100, 10_000);

/// Moving average of run time divided by estimate; a higher ratio means a slower minion.
///
/// Long runs weigh more than short ones, whose measured time contains a large share of overhead
/// for starting them and for reporting their end.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    run_time_us: u64,
    estimate_us: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            run_time_us: INITIAL_US,
            estimate_us: INITIAL_US,
        }
    }
}

impl Pace {
    /// Records a run that ended with success.
    pub fn record(&mut self, run_time: Duration, estimate: Duration) {
        let estimate_us = micros(estimate).max(1);
        let (low, high) = SAMPLE_BOUNDS_PERMILLE;
        let bounds = (estimate_us * low / 1_000, estimate_us * high / 1_000);
        let run_time_us = micros(run_time).clamp(bounds.0, bounds.1);
        let updated = |average: u64, newest: u64| {
            average - average / NEWEST_WEIGHT_DIVISOR + newest / NEWEST_WEIGHT_DIVISOR
        };
        self.run_time_us = updated(self.run_time_us, run_time_us).max(1);
        self.estimate_us = updated(self.estimate_us, estimate_us).max(1);
    }

    /// Returns run time divided by estimate, in thousandths.
    pub fn permille(&self) -> u32 {
        let permille = self.run_time_us.saturating_mul(1_000) / self.estimate_us;
        u32::try_from(permille).unwrap_or(u32::MAX)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 20_000)
}
