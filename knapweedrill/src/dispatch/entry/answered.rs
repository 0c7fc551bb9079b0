//! Answers that were given lately.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Answer;
use crate::dispatch::JobName;

/// How many answers are kept at the most; each takes about 60 bytes.
const ANSWER_COUNT_MAX: usize = 4_096;

/// Answers of jobs that ended lately, for requests that repeat themselves.
#[derive(Debug, Default)]
pub(super) struct Answered {
    answers: HashMap<JobName, Answer>,
    order: VecDeque<(Instant, JobName)>,
}

impl Answered {
    pub(super) fn get(&self, job: JobName) -> Option<Answer> {
        self.answers.get(&job).copied()
    }

    pub(super) fn keep(&mut self, job: JobName, answer: Answer, now: Instant) {
        if self.order.len() == ANSWER_COUNT_MAX {
            self.drop_oldest();
        }
        if self.answers.insert(job, answer).is_none() {
            self.order.push_back((now, job));
        }
    }

    pub(super) fn forget_before(&mut self, now: Instant, kept: Duration) {
        while let Some((at, _)) = self.order.front() {
            if now.saturating_duration_since(*at) < kept {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, job)) = self.order.pop_front() {
            self.answers.remove(&job);
        }
    }
}
