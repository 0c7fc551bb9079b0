//! The workload that the callers of a fault case submit.

use std::ops::RangeInclusive;

use knapweedrill_derive::value;

const DEFAULT_CALLER_COUNT: usize = 6;
const DEFAULT_TASK_COUNTS: RangeInclusive<u32> = 5..=40;
const DEFAULT_RUN_TIMES_MS: RangeInclusive<u64> = 10..=200;
const DEFAULT_RESUBMITTED_PERCENT: u32 = 30;

/// Builds the workload that the callers of a fault case submit.
#[value]
pub struct CallerWorkload {
    pub(super) caller_count: usize,
    pub(super) task_counts: RangeInclusive<u32>,
    pub(super) run_times_ms: RangeInclusive<u64>,
    pub(super) resubmitted_percent: u32,
    pub(super) cancelled_percent: u32,
}

impl CallerWorkload {
    /// Creates a workload of 6 callers with jobs of 5 to 40 tasks of 10 to 200 ms.
    ///
    /// 30 % of the jobs are resubmitted through another entry while they run; none are cancelled.
    pub fn new() -> Self {
        Self {
            caller_count: DEFAULT_CALLER_COUNT,
            task_counts: DEFAULT_TASK_COUNTS,
            run_times_ms: DEFAULT_RUN_TIMES_MS,
            resubmitted_percent: DEFAULT_RESUBMITTED_PERCENT,
            cancelled_percent: 0,
        }
    }

    /// Sets the number of callers; each submits one job at a time.
    pub fn callers(mut self, count: usize) -> Self {
        self.caller_count = count;
        self
    }

    /// Sets the range of the number of tasks of a job.
    pub fn task_counts(mut self, counts: RangeInclusive<u32>) -> Self {
        self.task_counts = counts;
        self
    }

    /// Sets the range of the run time of a task, in milliseconds.
    pub fn run_times_ms(mut self, run_times_ms: RangeInclusive<u64>) -> Self {
        self.run_times_ms = run_times_ms;
        self
    }

    /// Sets the percentage of jobs that are resubmitted while they run.
    pub fn resubmitted_percent(mut self, percent: u32) -> Self {
        self.resubmitted_percent = percent;
        self
    }

    /// Sets the percentage of jobs that are cancelled while they run.
    pub fn cancelled_percent(mut self, percent: u32) -> Self {
        self.cancelled_percent = percent;
        self
    }
}

impl Default for CallerWorkload {
    fn default() -> Self {
        Self::new()
    }
}
