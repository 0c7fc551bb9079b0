//! Admission control: whether a job can start early enough to meet its objective.

use std::time::Duration;

/// The inputs of the admission decision for one job.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// The estimated work queued ahead of the job, in millicores times milliseconds.
    pub work_ahead_millicore_ms: u64,
    /// The CPU capacity of the minions that this entry can count on, in millicores.
    pub share_millicores: u64,
    /// How long the job can wait and still meet its latency objective.
    pub slack: Duration,
}

impl Admission {
    /// Returns the estimated queueing delay of the job.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.work_ahead_millicore_ms / self.share_millicores.max(1))
    }

    /// Returns whether the job is admitted: nothing is queued ahead of it, or its wait fits into
    /// its slack.
    pub fn is_admitted(&self) -> bool {
        self.work_ahead_millicore_ms == 0 || self.wait() <= self.slack
    }
}
