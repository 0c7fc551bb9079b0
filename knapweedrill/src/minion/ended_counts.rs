//! Counts of tasks that ended on a minion.

use knapweedrill_derive::message;

/// Cumulative counts of the tasks of all entries that ended on a minion since its sidecar started.
///
/// Cancelled tasks are not counted.
#[message]
#[derive(Copy, Default)]
pub struct EndedCounts {
    /// The number of tasks that ended.
    pub ended_count: u64,
    /// The number of these tasks that failed.
    pub failed_count: u64,
}

impl EndedCounts {
    /// Counts a task that ended.
    pub fn add(&mut self, is_failure: bool) {
        self.ended_count += 1;
        self.failed_count += u64::from(is_failure);
    }

    /// Returns the difference from `earlier`, or `None` if these counts are older.
    pub fn since(self, earlier: Self) -> Option<Self> {
        Some(Self {
            ended_count: self.ended_count.checked_sub(earlier.ended_count)?,
            failed_count: self.failed_count.checked_sub(earlier.failed_count)?,
        })
    }

    /// Returns at most `count_max` outcomes; `true` is a failure.
    ///
    /// The order of the outcomes is unknown, so the failures are distributed evenly.
    pub fn outcomes(self, count_max: u64) -> impl Iterator<Item = bool> {
        let outcome_count = self.ended_count.min(count_max);
        let failed_count = self.failed_count.min(self.ended_count);
        let failed_before = move |outcome: u64| {
            u128::from(outcome) * u128::from(failed_count) / u128::from(self.ended_count)
        };
        (0..outcome_count).map(move |outcome| failed_before(outcome + 1) > failed_before(outcome))
    }
}
