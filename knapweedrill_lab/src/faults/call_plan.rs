//! What the callers of a failure case do.

use std::ops::RangeInclusive;

use knapweedrill_derive::value;

const DEFAULT_CALLER_COUNT: usize = 6;
const DEFAULT_TASK_COUNTS: RangeInclusive<u32> = 5..=40;
const DEFAULT_TASK_MS: RangeInclusive<u64> = 10..=200;
const DEFAULT_REPEATED_PERCENT: u32 = 30;

/// What the callers of a failure case do; a builder.
#[value]
pub struct CallPlan {
    pub(super) caller_count: usize,
    pub(super) task_counts: RangeInclusive<u32>,
    pub(super) task_ms: RangeInclusive<u64>,
    pub(super) repeated_percent: u32,
    pub(super) cancelled_percent: u32,
}

impl CallPlan {
    /// Creates a plan of 6 callers with jobs of 5 to 40 tasks of 10 to 200 ms.
    ///
    /// Of the jobs 30 % are submitted a second time through another entry while they run.
    pub fn new() -> Self {
        Self {
            caller_count: DEFAULT_CALLER_COUNT,
            task_counts: DEFAULT_TASK_COUNTS,
            task_ms: DEFAULT_TASK_MS,
            repeated_percent: DEFAULT_REPEATED_PERCENT,
            cancelled_percent: 0,
        }
    }

    /// Sets how many callers submit jobs, each one at a time.
    pub fn callers(mut self, count: usize) -> Self {
        self.caller_count = count;
        self
    }

    /// Sets how many tasks a job has.
    pub fn task_counts(mut self, counts: RangeInclusive<u32>) -> Self {
        self.task_counts = counts;
        self
    }

    /// Sets how long a task runs, in milliseconds.
    pub fn task_ms(mut self, times_ms: RangeInclusive<u64>) -> Self {
        self.task_ms = times_ms;
        self
    }

    /// Sets how many of the jobs are submitted a second time while they run.
    pub fn repeated_percent(mut self, percent: u32) -> Self {
        self.repeated_percent = percent;
        self
    }

    /// Sets how many of the jobs are cancelled while they run.
    pub fn cancelled_percent(mut self, percent: u32) -> Self {
        self.cancelled_percent = percent;
        self
    }
}

impl Default for CallPlan {
    fn default() -> Self {
        Self::new()
    }
}
