//! Statistics of a minion, gathered from its runs and answers.

use std::time::Duration;

use super::{Health, Pace, RetryDelay};
use crate::dispatch::JobName;

/// Health, speed and retry delay of a minion since its last restart.
#[derive(Debug, Default)]
pub(super) struct MinionStats {
    health: Health,
    pace: Pace,
    retry_delay: RetryDelay,
}

impl MinionStats {
    /// Returns whether the minion fails tasks of several jobs.
    pub(super) fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Returns run time divided by estimate, in thousandths.
    pub(super) fn pace_permille(&self) -> u32 {
        self.pace.permille()
    }

    /// Returns the time that a run loses to lost answers, in milliseconds.
    pub(super) fn delay_ms(&self) -> u32 {
        self.retry_delay.as_millis()
    }

    /// Records whether the minion failed a task of a job.
    pub(super) fn record_outcome(&mut self, job: JobName, has_failed: bool) {
        let was_suspect = self.health.is_suspect();
        self.health.record(job, has_failed);
        let is_suspect = self.health.is_suspect();
        if is_suspect != was_suspect {
            log::warn!(is_suspect, job:% = job; "minion health changed");
        }
    }

    /// Records the run time of a run that ended with success.
    pub(super) fn record_run(&mut self, run_time: Duration, estimate: Duration) {
        self.pace.record(run_time, estimate);
    }

    /// Records the time from the first start order of a run until the minion accepted it.
    pub(super) fn record_start_delay(&mut self, delay: Duration) {
        self.retry_delay.record_start(delay);
    }

    /// Records for how long ended runs may have gone unreported because answers were lost.
    pub(super) fn record_end_delay(&mut self, delay: Duration) {
        self.retry_delay.record_end(delay);
    }
}
