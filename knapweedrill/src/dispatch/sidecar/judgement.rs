//! What a sidecar has learned of its minion.

use std::time::Duration;

use super::{Delay, Health, Pace};
use crate::dispatch::JobName;

/// What the runs of a minion and its answers have told of it.
#[derive(Debug, Default)]
pub(super) struct Judgement {
    health: Health,
    pace: Pace,
    delay: Delay,
}

impl Judgement {
    /// Returns whether the minion fails tasks of several jobs.
    pub(super) fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Returns run time over estimate, in thousandths.
    pub(super) fn pace_permille(&self) -> u32 {
        self.pace.permille()
    }

    /// Returns how much longer runs take because answers get lost, in milliseconds.
    pub(super) fn delay_ms(&self) -> u32 {
        self.delay.ms()
    }

    /// Takes in whether the minion did what it should for a task of a job.
    pub(super) fn note(&mut self, job: JobName, has_failed: bool) {
        let was_suspect = self.health.is_suspect();
        self.health.note(job, has_failed);
        let is_suspect = self.health.is_suspect();
        if is_suspect != was_suspect {
            log::warn!(is_suspect, job:% = job; "judgement of the minion changed");
        }
    }

    /// Takes in how long a run has taken that ended with success.
    pub(super) fn learn_run(&mut self, age: Duration, estimate: Duration) {
        self.pace.learn(age, estimate);
    }

    /// Takes in how long it took until the minion had taken a run.
    pub(super) fn learn_start(&mut self, delay: Duration) {
        self.delay.learn_start(delay);
    }

    /// Takes in for how long ends may have gone unnoticed.
    pub(super) fn learn_end(&mut self, delay: Duration) {
        self.delay.learn_end(delay);
    }
}
