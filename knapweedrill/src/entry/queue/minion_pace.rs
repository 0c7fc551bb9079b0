//! How fast a minion is beside the others of its service.

use std::time::Duration;

use knapweedrill_derive::value;

/// How much later than at best a task may end, in per cent of the best end of its job.
const DELAY_ALLOWED_PERCENT: u32 = 150;

/// How fast a minion is beside the others of its service.
#[value]
#[derive(Copy, Eq)]
pub struct MinionPace {
    /// The speed of a slot of the minion, in per cent of the reference speed.
    pub speed_percent: u32,
    /// The speed of a slot of the fastest minion.
    pub fastest_percent: u32,
    /// The speed of all slots of all minions together.
    pub fleet_percent: u32,
}

impl MinionPace {
    /// Returns the longest task that the minion ends hardly later than the job can end at best.
    ///
    /// `longest` is the longest waiting task of the job and `remaining` the sum of all, both on a
    /// minion of speed 1.
    pub(super) fn longest_fitting(self, longest: Duration, remaining: Duration) -> Duration {
        let by_longest = longest / self.fastest_percent.max(1);
        let by_sum = remaining / self.fleet_percent.max(1);
        let best_end = by_longest.max(by_sum);
        best_end.saturating_mul(self.speed_percent) * DELAY_ALLOWED_PERCENT / 100
    }
}
