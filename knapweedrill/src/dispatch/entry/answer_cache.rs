//! Recent answers, for repeated requests.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Answer;
use crate::dispatch::JobName;

/// The capacity of the cache; each answer takes about 60 bytes.
const ANSWER_COUNT_MAX: usize = 4_096;

/// The answers of jobs that ended recently. A repeated request for one of these jobs gets the same
/// answer and does not run the job again.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    answers: HashMap<JobName, Answer>,
    order: VecDeque<(Instant, JobName)>,
}

impl AnswerCache {
    pub(super) fn get(&self, job: JobName) -> Option<Answer> {
        self.answers.get(&job).copied()
    }

    pub(super) fn insert(&mut self, job: JobName, answer: Answer, now: Instant) {
        if self.order.len() == ANSWER_COUNT_MAX {
            self.evict_oldest();
        }
        if self.answers.insert(job, answer).is_none() {
            self.order.push_back((now, job));
        }
    }

    pub(super) fn evict_expired(&mut self, now: Instant, retention: Duration) {
        while let Some((at, _)) = self.order.front() {
            if now.saturating_duration_since(*at) < retention {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, job)) = self.order.pop_front() {
            self.answers.remove(&job);
        }
    }
}
