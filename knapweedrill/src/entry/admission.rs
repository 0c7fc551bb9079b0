//! Whether an entry takes a job in.

use std::time::{Duration, Instant};

use super::QueueTotals;
use crate::contract::Limits;
use crate::job::Refusal;

/// The part of the deadline that the expected wait may take, in per cent.
const WAIT_OF_DEADLINE_PERCENT: u32 = 80;

/// The least time after which another try is suggested.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The longest time after which another try is suggested.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The time over which the rate of ended work is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// How much a job asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobSize {
    /// How many tasks it has.
    pub task_count: u32,
    /// How many bytes of payload they have in all.
    pub payload_bytes: u64,
    /// How many bytes of payload the largest has.
    pub largest_payload_bytes: u32,
    /// How long its tasks are expected to run in all on a minion of speed 1.
    pub expected_work: Duration,
    /// How long the caller waits at most.
    pub deadline: Duration,
}

/// A refusal to take a job in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why.
    pub refusal: Refusal,
    /// When another try is worthwhile; `None` if never.
    pub retry_after: Option<Duration>,
}

/// Decides whether an entry takes a job in.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    /// The work that ends each second, in seconds on a minion of speed 1.
    rate: f64,
    window_work: Duration,
    window_started_at: Instant,
    is_rate_known: bool,
}

impl Admission {
    /// Creates an admission under `limits`.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            rate: 0.0,
            window_work: Duration::ZERO,
            window_started_at: now,
            is_rate_known: false,
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Learns that a task ended that was expected to run for `expected`, while others waited.
    ///
    /// Work that ends while nothing waits tells nothing about how fast a queue shrinks.
    pub fn ended(&mut self, expected: Duration, queued: QueueTotals, now: Instant) {
        if queued.task_count == 0 {
            self.window_work = Duration::ZERO;
            self.window_started_at = now;
            return;
        }
        self.window_work += expected;
        let elapsed = now.saturating_duration_since(self.window_started_at);
        if elapsed < RATE_WINDOW {
            return;
        }
        let rate = self.window_work.as_secs_f64() / elapsed.as_secs_f64();
        self.rate = if self.is_rate_known {
            (self.rate + rate) / 2.0
        } else {
            rate
        };
        self.is_rate_known = true;
        self.window_work = Duration::ZERO;
        self.window_started_at = now;
    }

    /// Returns how long queued work is expected to wait; zero while nothing is known.
    pub fn expected_wait(&self, work: Duration) -> Duration {
        if !self.is_rate_known || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let wait_s = work.as_secs_f64() / self.rate;
        Duration::from_secs_f64(wait_s.min(Duration::from_secs(86_400).as_secs_f64()))
    }

    /// Decides on a job.
    ///
    /// `ahead_work` is the work that goes before the job, see
    /// [`TaskQueue::work_ahead`](super::TaskQueue::work_ahead).
    ///
    /// # Errors
    ///
    /// Returns why the job is not taken in; no task of it has run.
    pub fn admit(
        &self,
        job: JobSize,
        queued: QueueTotals,
        ahead_work: Duration,
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
        let wait = self.expected_wait(ahead_work + job.expected_work);
        if is_full || wait > job.deadline * WAIT_OF_DEADLINE_PERCENT / 100 {
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

    /// Suggests to come back when half of the queue is gone.
    fn retry_after(&self, queued: QueueTotals) -> Duration {
        let wait = self.expected_wait(queued.expected_work / 2);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
