//! The speed of a minion relative to its service.

use std::time::Duration;

use knapweedrill_derive::value;

/// The latest end of a task, in per cent of the earliest possible end of its job.
const END_PERCENT_MAX: u32 = 150;

/// The speed of a minion relative to the other minions of its service.
#[value]
#[derive(Copy, Eq)]
pub struct RelativeSpeed {
    /// The speed of each slot of the minion, in per cent of a minion of speed 1.
    pub speed_percent: u32,
    /// The speed of each slot of the fastest minion, in per cent.
    pub fastest_speed_percent: u32,
    /// The sum of the speeds of all slots of all minions, in per cent.
    pub total_speed_percent: u32,
}

impl RelativeSpeed {
    /// Returns the longest run time of a task that the minion can take without delaying its job.
    ///
    /// The task may end at up to `END_PERCENT_MAX` of the earliest possible end of the job.
    /// `longest_task` is the longest waiting task of the job and `remaining_work` the sum of all.
    /// All run times are on a minion of speed 1.
    pub(super) fn longest_fitting_task(
        self,
        longest_task: Duration,
        remaining_work: Duration,
    ) -> Duration {
        let by_longest = longest_task / self.fastest_speed_percent.max(1);
        let by_sum = remaining_work / self.total_speed_percent.max(1);
        let best_end = by_longest.max(by_sum);
        best_end.saturating_mul(self.speed_percent) * END_PERCENT_MAX / 100
    }
}
