//! Whether a job is taken, by when its tasks are likely to get room.

use std::time::Duration;

/// What decides about a job.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// The work that comes before the job, in thousandths of a core times milliseconds.
    pub work_ahead_millicore_ms: u64,
    /// The share of the minions' processor that this entry can count on, in thousandths of a core.
    pub share_millicores: u64,
    /// How long the job can wait and still keep its objective.
    pub slack: Duration,
}

impl Admission {
    /// Returns how long the job is going to wait for room.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.work_ahead_millicore_ms / self.share_millicores.max(1))
    }

    /// Returns whether the job is taken.
    pub fn is_admitted(&self) -> bool {
        self.work_ahead_millicore_ms == 0 || self.wait() <= self.slack
    }
}
