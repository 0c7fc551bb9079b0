//! Delay that lost answers of a minion add to its runs.

use std::time::Duration;

/// Divisor of the exponential moving average: the newest sample has a weight of 1/16. A minion
/// that loses a third of its answers is detected within about ten of them.
const NEWEST_WEIGHT_DIVISOR: u64 = 16;

/// Moving average of the time that runs lose because orders to the minion, or reports of ended
/// runs, had to be repeated.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryDelay {
    start_us: u64,
    end_us: u64,
}

impl RetryDelay {
    /// Records the time from the first start order of a run until the minion accepted it.
    pub fn record_start(&mut self, delay: Duration) {
        update_average(&mut self.start_us, delay);
    }

    /// Records for how long ended runs may have gone unreported because answers were lost; zero
    /// if none was lost.
    pub fn record_end(&mut self, delay: Duration) {
        update_average(&mut self.end_us, delay);
    }

    /// Returns the expected delay of a run, in whole milliseconds.
    pub fn as_millis(&self) -> u32 {
        u32::try_from((self.start_us + self.end_us) / 1_000).unwrap_or(u32::MAX)
    }
}

fn update_average(average_us: &mut u64, newest: Duration) {
    let newest_us = u64::try_from(newest.as_micros()).unwrap_or(u64::MAX);
    *average_us =
        *average_us - *average_us / NEWEST_WEIGHT_DIVISOR + newest_us / NEWEST_WEIGHT_DIVISOR;
}
