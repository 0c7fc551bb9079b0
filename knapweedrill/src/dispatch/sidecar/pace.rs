//! How fast a minion is.

use std::time::Duration;

/// The weight of the newest run, one in so many. A full minion ends some 40 runs a second, so a
/// minion that turns slow shows within half a second; estimates that are off by 40 % then move
/// the pace by 6 %.
const NEWEST_WEIGHT: u64 = 20;

/// What is known before the first run: a run that took as long as its estimate.
const PRIOR_US: u64 = 200_000;

/// The bounds of what one run may say, in thousandths of its estimate; estimates are rough.
const SAMPLE_PERMILLE: (u64, u64) = (100, 10_000);

/// Run time over estimate of the last runs of a minion.
///
/// Long runs weigh more than short ones, in which the time to start them and to hear of their end
/// is a large share.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    run_time_us: u64,
    estimate_us: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            run_time_us: PRIOR_US,
            estimate_us: PRIOR_US,
        }
    }
}

impl Pace {
    /// Takes in a run that has ended with success.
    pub fn learn(&mut self, run_time: Duration, estimate: Duration) {
        let estimate_us = micros(estimate).max(1);
        let (low, high) = SAMPLE_PERMILLE;
        let bounds = (estimate_us * low / 1_000, estimate_us * high / 1_000);
        let run_time_us = micros(run_time).clamp(bounds.0, bounds.1);
        let fold = |known: u64, newest: u64| known - known / NEWEST_WEIGHT + newest / NEWEST_WEIGHT;
        self.run_time_us = fold(self.run_time_us, run_time_us).max(1);
        self.estimate_us = fold(self.estimate_us, estimate_us).max(1);
    }

    /// Returns run time over estimate, in thousandths.
    pub fn permille(&self) -> u32 {
        let permille = self.run_time_us.saturating_mul(1_000) / self.estimate_us;
        u32::try_from(permille).unwrap_or(u32::MAX)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 20_000)
}
