//! What lost answers of a minion cost its runs.

use std::time::Duration;

/// The weight of the newest sample, one in so many: a minion that loses a third of its answers
/// shows within some ten of them.
const NEWEST_WEIGHT: u64 = 16;

/// The mean time that runs lose because orders to the minion, or news of ends, had to be repeated.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delay {
    start_us: u64,
    end_us: u64,
}

impl Delay {
    /// Takes in how long it took until the minion had taken a run.
    pub fn learn_start(&mut self, delay: Duration) {
        fold(&mut self.start_us, delay);
    }

    /// Takes in for how long ends may have gone unnoticed since the last answer was lost; nothing if
    /// none was.
    pub fn learn_end(&mut self, delay: Duration) {
        fold(&mut self.end_us, delay);
    }

    /// Returns the delay of a run, in whole milliseconds.
    pub fn ms(&self) -> u32 {
        u32::try_from((self.start_us + self.end_us) / 1_000).unwrap_or(u32::MAX)
    }
}

fn fold(known_us: &mut u64, newest: Duration) {
    let newest_us = u64::try_from(newest.as_micros()).unwrap_or(u64::MAX);
    *known_us = *known_us - *known_us / NEWEST_WEIGHT + newest_us / NEWEST_WEIGHT;
}
