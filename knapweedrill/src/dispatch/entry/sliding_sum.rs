//! A sum over the most recent part of time.

use std::time::{Duration, Instant};

use crate::dispatch::units::millis;

/// The number of buckets of a window. The sum covers the newest one, which is not full yet, and the
/// others.
const BUCKET_COUNT: usize = 4;

/// The sum of the amounts recorded within a sliding window, in buckets of equal length.
#[derive(Debug, Clone)]
pub(super) struct SlidingSum {
    bucket_duration: Duration,
    /// The amounts, newest bucket first.
    amounts: [u64; BUCKET_COUNT],
    /// When the newest bucket began; `None` before the first amount.
    newest_began_at: Option<Instant>,
}

impl SlidingSum {
    /// Creates an empty window of the given length.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            bucket_duration: window / BUCKET_COUNT as u32,
            amounts: [0; BUCKET_COUNT],
            newest_began_at: None,
        }
    }

    /// Adds an amount.
    pub(super) fn add(&mut self, amount: u64, now: Instant) {
        let passed = self.passed_buckets(now);
        match self.newest_began_at {
            Some(began_at) if passed < BUCKET_COUNT => {
                self.amounts.rotate_right(passed);
                self.amounts[..passed].fill(0);
                self.newest_began_at = Some(began_at + self.bucket_duration * passed as u32);
            }
            Some(_) | None => {
                self.amounts.fill(0);
                self.newest_began_at = Some(now);
            }
        }
        self.amounts[0] = self.amounts[0].saturating_add(amount);
    }

    /// Returns the sum of the amounts within the window.
    pub(super) fn sum(&self, now: Instant) -> u64 {
        let recent_count = BUCKET_COUNT - self.passed_buckets(now);
        let recent = &self.amounts[..recent_count];
        recent.iter().copied().fold(0, u64::saturating_add)
    }

    /// Returns the mean of the amounts per millisecond of the time that the buckets cover.
    pub(super) fn mean_per_ms(&self, now: Instant) -> u64 {
        let full_duration = self.bucket_duration * (BUCKET_COUNT as u32 - 1);
        let covered = self.newest_began_at.map_or(full_duration, |began_at| {
            let age = now.saturating_duration_since(began_at);
            full_duration + age.min(self.bucket_duration)
        });
        self.sum(now) / millis(covered).max(1)
    }

    /// Returns the number of buckets that have begun since the newest one, at most all.
    fn passed_buckets(&self, now: Instant) -> usize {
        let Some(began_at) = self.newest_began_at else {
            return BUCKET_COUNT;
        };
        let passed = now.saturating_duration_since(began_at).as_nanos()
            / self.bucket_duration.as_nanos().max(1);
        usize::try_from(passed).map_or(BUCKET_COUNT, |passed| passed.min(BUCKET_COUNT))
    }
}
