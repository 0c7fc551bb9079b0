//! The names of cancelled jobs.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Answer;
use crate::dispatch::{CancelOutcome, JobName};

/// The maximum number of names that are remembered.
pub(super) const CANCELLED_COUNT_MAX: usize = 16_384;

/// The minimum interval between two log lines that say that names were forgotten early.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// What is remembered of a cancelled job.
#[derive(Debug, Clone, Copy)]
struct CancelledJob {
    /// The answer to later submissions.
    answer: Answer,
    outcome: CancelOutcome,
}

/// The names of cancelled jobs, for submissions that arrive later than their cancel.
#[derive(Debug, Default)]
pub(super) struct CancelledNames {
    jobs: HashMap<JobName, CancelledJob>,
    /// The names in the order of their cancels.
    order: VecDeque<(Instant, JobName)>,
    full_logged_at: Option<Instant>,
}

impl CancelledNames {
    /// Returns the number of remembered names.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the answer to a submission of a job that was cancelled.
    pub(super) fn answer(&self, name: JobName) -> Option<Answer> {
        Some(self.jobs.get(&name)?.answer)
    }

    /// Remembers that a job was cancelled and returns what all its cancels have found so far.
    ///
    /// `answer` is the answer to later submissions, unless an earlier cancel has set it.
    pub(super) fn insert(
        &mut self,
        name: JobName,
        answer: Answer,
        outcome: CancelOutcome,
        now: Instant,
    ) -> CancelOutcome {
        if let Some(known) = self.jobs.get_mut(&name) {
            known.outcome = known.outcome.max(outcome);
            return known.outcome;
        }
        if self.jobs.len() >= CANCELLED_COUNT_MAX {
            self.forget_oldest();
            self.log_full(now);
        }
        self.jobs.insert(name, CancelledJob { answer, outcome });
        self.order.push_back((now, name));
        outcome
    }

    /// Forgets the names whose cancel is older than `retention`.
    pub(super) fn forget_expired(&mut self, now: Instant, retention: Duration) {
        while let Some((at, _)) = self.order.front() {
            if now.saturating_duration_since(*at) < retention {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, name)) = self.order.pop_front() {
            self.jobs.remove(&name);
        }
    }

    fn log_full(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < FULL_LOG_INTERVAL;
        if self.full_logged_at.is_some_and(is_recent) {
            return;
        }
        self.full_logged_at = Some(now);
        log::warn!(
            names = CANCELLED_COUNT_MAX;
            "too many cancelled jobs to remember, the oldest are forgotten early"
        );
    }
}
