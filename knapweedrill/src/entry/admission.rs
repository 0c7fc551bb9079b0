//! Admission control of an entry.

use std::time::{Duration, Instant};

use super::QueueTotals;
use crate::contract::Limits;
use crate::job::Refusal;

/// The largest expected wait of an admitted job, in per cent of its deadline.
const WAIT_PERCENT_MAX: u32 = 80;

/// The shortest retry delay that is suggested to a caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The longest retry delay that is suggested to a caller.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The shortest interval over which a throughput sample is taken.
const THROUGHPUT_WINDOW_MIN: Duration = Duration::from_secs(5);

/// The size of a job, as far as admission depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobSize {
    /// The number of tasks.
    pub task_count: u32,
    /// The total size of the payloads, in bytes.
    pub payload_bytes: u64,
    /// The size of the largest payload, in bytes.
    pub largest_payload_bytes: u32,
    /// The total expected run time of the tasks on a minion of speed 1.
    pub expected_work: Duration,
    /// The deadline, relative to the acceptance of the job.
    pub deadline: Duration,
}

/// The refusal of a job by admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub refusal: Refusal,
    /// The suggested retry delay; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Admits or refuses jobs by the queue limits and by the expected wait.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    /// The throughput: expected run time on a minion of speed 1 that ends per second.
    throughput: f64,
    window_work: Duration,
    window_started_at: Instant,
    is_throughput_known: bool,
}

impl Admission {
    /// Creates an admission control without a throughput estimate.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            throughput: 0.0,
            window_work: Duration::ZERO,
            window_started_at: now,
            is_throughput_known: false,
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Updates the throughput estimate with a task that ended.
    ///
    /// Tasks that end while the queue is empty are ignored, since throughput is then bounded by the
    /// arrival rate and not by the capacity.
    pub fn record_end(&mut self, expected_run_time: Duration, queued: QueueTotals, now: Instant) {
        if queued.task_count == 0 {
            self.window_work = Duration::ZERO;
            self.window_started_at = now;
            return;
        }
        self.window_work += expected_run_time;
        let elapsed = now.saturating_duration_since(self.window_started_at);
        if elapsed < THROUGHPUT_WINDOW_MIN {
            return;
        }
        let throughput = self.window_work.as_secs_f64() / elapsed.as_secs_f64();
        self.throughput = if self.is_throughput_known {
            (self.throughput + throughput) / 2.0
        } else {
            throughput
        };
        self.is_throughput_known = true;
        self.window_work = Duration::ZERO;
        self.window_started_at = now;
    }

    /// Returns the time to drain `work` from the queue; zero while the throughput is unknown.
    pub fn expected_wait(&self, work: Duration) -> Duration {
        if !self.is_throughput_known || self.throughput <= 0.0 {
            return Duration::ZERO;
        }
        let wait_s = work.as_secs_f64() / self.throughput;
        Duration::from_secs_f64(wait_s.min(Duration::from_secs(86_400).as_secs_f64()))
    }

    /// Admits or refuses a job.
    ///
    /// `work_ahead` is the queued work that is dispatched before the job, see
    /// [`TaskQueue::work_ahead`](super::TaskQueue::work_ahead).
    ///
    /// # Errors
    ///
    /// Returns the refusal if the job exceeds the limits or would wait for too long; no task of it
    /// has run.
    pub fn admit(
        &self,
        job: JobSize,
        queued: QueueTotals,
        work_ahead: Duration,
    ) -> Result<(), AdmissionRefusal> {
        if self.is_too_large(job) {
            return Err(AdmissionRefusal {
                refusal: Refusal::Invalid,
                retry_after: None,
            });
        }
        let task_count = queued.task_count.saturating_add(job.task_count);
        let payload_bytes = queued.payload_bytes.saturating_add(job.payload_bytes);
        let is_full =
            task_count > self.limits.queued_tasks || payload_bytes > self.limits.queued_bytes;
        let wait = self.expected_wait(work_ahead + job.expected_work);
        if is_full || wait > job.deadline * WAIT_PERCENT_MAX / 100 {
            return Err(AdmissionRefusal {
                refusal: Refusal::Overloaded,
                retry_after: Some(self.retry_after(queued)),
            });
        }
        Ok(())
    }

    fn is_too_large(&self, job: JobSize) -> bool {
        job.task_count == 0
            || job.task_count > self.limits.tasks_per_job.min(self.limits.queued_tasks)
            || job.payload_bytes > self.limits.queued_bytes
            || job.largest_payload_bytes > self.limits.payload_bytes
            || job.deadline > self.limits.deadline_max
    }

    /// Returns the expected time until half of the queue is drained, within the bounds of a retry
    /// delay.
    fn retry_after(&self, queued: QueueTotals) -> Duration {
        let wait = self.expected_wait(queued.expected_work / 2);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
