//! How many tasks ended on a minion.

use knapweedrill_derive::message;

/// How many tasks of all entries ended on a minion since its sidecar started.
///
/// Cancelled tasks do not count.
#[message]
#[derive(Copy, Default)]
pub struct EndedCounts {
    /// How many tasks ended.
    pub ended_count: u64,
    /// How many of these failed.
    pub failed_count: u64,
}

impl EndedCounts {
    /// Counts a task that ended.
    pub fn add(&mut self, is_failure: bool) {
        self.ended_count += 1;
        self.failed_count += u64::from(is_failure);
    }

    /// Returns what was counted after `earlier`, or `None` if these counts are the older ones.
    pub fn since(self, earlier: Self) -> Option<Self> {
        Some(Self {
            ended_count: self.ended_count.checked_sub(earlier.ended_count)?,
            failed_count: self.failed_count.checked_sub(earlier.failed_count)?,
        })
    }

    /// Returns whether each of `count_max` outcomes at most was a failure, as their order is not
    /// known with the failures evenly among the successes.
    pub fn outcomes(self, count_max: u64) -> impl Iterator<Item = bool> {
        let outcome_count = self.ended_count.min(count_max);
        let failed_count = self.failed_count.min(self.ended_count);
        let failed_before = move |outcome: u64| {
            u128::from(outcome) * u128::from(failed_count) / u128::from(self.ended_count)
        };
        (0..outcome_count).map(move |outcome| failed_before(outcome + 1) > failed_before(outcome))
    }
}
