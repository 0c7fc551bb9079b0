//! The rate at which waiting work is placed.

use std::time::{Duration, Instant};

use super::sliding_sum::SlidingSum;

/// The window of the rate: longer than the common tasks, so that it contains ends of most runs, and
/// short enough that capacity moves between entries within it.
const DRAIN_WINDOW: Duration = Duration::from_millis(300);

/// The rate at which the work of one service is placed while some of it waits.
///
/// While nothing waits, the rate of placement says what callers ask for and not what could be placed.
#[derive(Debug)]
pub struct DrainRate {
    placed_millicore_ms: SlidingSum,
    /// Whether work was left waiting by the last round of placement.
    has_waited: bool,
    /// Whether the current round of placement leaves work waiting.
    is_left_waiting: bool,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            placed_millicore_ms: SlidingSum::new(DRAIN_WINDOW),
            has_waited: false,
            is_left_waiting: false,
        }
    }
}

impl DrainRate {
    /// Records that work was placed.
    pub fn record_placed(&mut self, millicore_ms: u64, now: Instant) {
        if self.has_waited {
            self.placed_millicore_ms.add(millicore_ms, now);
        }
    }

    /// Records that a job was left waiting in this round of placement.
    pub fn record_left_waiting(&mut self) {
        self.is_left_waiting = true;
    }

    /// Ends a round of placement.
    pub fn end_round(&mut self) {
        self.has_waited = std::mem::take(&mut self.is_left_waiting);
    }

    /// Returns the mean rate within the window, in millicores.
    pub fn millicores(&self, now: Instant) -> u64 {
        self.placed_millicore_ms.mean_per_ms(now)
    }
}
