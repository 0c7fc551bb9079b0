//! The recent rate of work by priority.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::sliding_sum::SlidingSum;
use crate::dispatch::units::millis;

/// The window of the rates: longer than the longest common tasks, and shorter than most bursts.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The work recorded within the last second, by priority.
#[derive(Debug, Default)]
pub(super) struct PriorityRates {
    millicore_ms_by_priority: BTreeMap<u8, SlidingSum>,
}

impl PriorityRates {
    /// Records work of a priority.
    pub(super) fn record(&mut self, priority: u8, millicore_ms: u64, now: Instant) {
        self.millicore_ms_by_priority
            .entry(priority)
            .or_insert_with(|| SlidingSum::new(RATE_WINDOW))
            .add(millicore_ms, now);
    }

    /// Returns the mean rate of the work of higher priorities than the given one, in millicores.
    pub(super) fn rate_above(&self, priority: u8, now: Instant) -> u64 {
        let above = self.millicore_ms_by_priority.range(..priority);
        above.fold(0, |sum: u64, (_, work)| sum.saturating_add(work.sum(now))) / millis(RATE_WINDOW)
    }

    /// Returns the work of a priority within the window, in millicores times milliseconds.
    pub(super) fn work_of(&self, priority: u8, now: Instant) -> u64 {
        let work = self.millicore_ms_by_priority.get(&priority);
        work.map_or(0, |work| work.sum(now))
    }

    /// Returns the work of a priority and all higher ones within the window, in millicores times
    /// milliseconds.
    pub(super) fn work_up_to(&self, priority: u8, now: Instant) -> u64 {
        let works = self.millicore_ms_by_priority.range(..=priority);
        works.fold(0, |sum: u64, (_, work)| sum.saturating_add(work.sum(now)))
    }

    /// Returns the work of all priorities within the window, in millicores times milliseconds.
    pub(super) fn total_work(&self, now: Instant) -> u64 {
        let works = self.millicore_ms_by_priority.values();
        works.fold(0, |sum: u64, work| sum.saturating_add(work.sum(now)))
    }
}
