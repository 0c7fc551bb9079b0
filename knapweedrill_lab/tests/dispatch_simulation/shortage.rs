use std::time::Duration;

use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::Answer;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Simulation, configuration};

/// How long callers wait, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// A kind of job: one step of equal tasks.
#[derive(Debug, Clone, Copy)]
struct Kind {
    path_prefix: &'static str,
    task_count: u32,
    run_ms: u64,
}

/// The kinds of jobs, by priority.
const KINDS: [Kind; 3] = [
    Kind {
        path_prefix: "/short/",
        task_count: 4,
        run_ms: 60,
    },
    Kind {
        path_prefix: "/middle/",
        task_count: 2,
        run_ms: 200,
    },
    Kind {
        path_prefix: "/long/",
        task_count: 4,
        run_ms: 900,
    },
];

/// A job that was submitted, and how it was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlayedJob {
    pub(crate) name: JobName,
    pub(crate) priority: usize,
    pub(crate) entry: usize,
    pub(crate) submitted_at_ms: u64,
    /// The first answer and its time in milliseconds.
    pub(crate) answered: Option<(Answer, u64)>,
}

impl PlayedJob {
    pub(crate) fn is_completed(&self) -> bool {
        matches!(self.answered, Some((Answer::Completed, _)))
    }

    pub(crate) fn is_refused(&self) -> bool {
        matches!(self.answered, Some((Answer::Refused { .. }, _)))
    }

    pub(crate) fn is_in_time(&self) -> bool {
        let objective_ms = KINDS[self.priority].run_ms * 16 / 10 + 60;
        matches!(self.answered, Some((Answer::Completed, at_ms))
            if at_ms - self.submitted_at_ms <= objective_ms)
    }

    /// Returns the value of the answer: a late one counts a fifth.
    pub(crate) fn value(&self) -> f64 {
        match (self.is_in_time(), self.is_completed()) {
            (true, _) => 1.0,
            (false, true) => 0.2,
            (false, false) => 0.0,
        }
    }
}

/// Returns the CPU time that a job of a priority takes, in core seconds.
pub(crate) fn core_seconds(priority: usize) -> f64 {
    let kind = KINDS[priority];
    f64::from(kind.task_count) * kind.run_ms as f64 / 1_000.0
}

impl Simulation {
    /// Configures one queue for each kind of job.
    pub(crate) fn use_priorities(&mut self) {
        let mut configuration = configuration();
        configuration.version = 2;
        let model = configuration.queues[0].clone();
        configuration.queues = (0..)
            .zip(KINDS)
            .map(|(priority, kind)| {
                let mut queue = model.clone();
                queue.name = kind.path_prefix.into();
                queue.path_prefix = kind.path_prefix.into();
                queue.policy.priority = priority;
                queue
            })
            .collect();
        self.configuration = configuration.clone();
        for node in 0..self.entry_count {
            let now = self.process_now(node);
            if let Some(entry) = &mut self.nodes[node].entry {
                entry.configure(configuration.clone(), "test", now);
            }
        }
    }

    /// Submits a job of a priority to an entry, with an estimate in percent of the run time.
    /// Returns `None` while the entry does not run.
    pub(crate) fn submit_to_entry_with_priority(
        &mut self,
        entry: usize,
        priority: usize,
        estimate_percent: u64,
    ) -> Option<JobName> {
        let node = &self.nodes[entry];
        if node.entry.is_none() || node.frozen_until_ms > self.now_ms {
            return None;
        }
        let kind = KINDS[priority];
        let mut submission =
            self.new_submission(kind.path_prefix, kind.task_count, CALLER_TIMEOUT_MS);
        submission.steps[0].estimate = Duration::from_millis(kind.run_ms * estimate_percent / 100);
        let name = submission.name;
        self.set_run_ms_of(name, kind.task_count, kind.run_ms);
        self.submit_to_entry(entry, submission);
        Some(name)
    }

    /// Submits jobs at random times for `for_ms`, and returns them once the last caller has its
    /// answer or has left. `jobs_per_s` returns the rate of the jobs of an entry and a priority at a
    /// time since the beginning, in milliseconds.
    pub(crate) fn play(
        &mut self,
        for_ms: u64,
        jobs_per_s: impl Fn(usize, usize, u64) -> f64,
    ) -> Vec<PlayedJob> {
        let begin_ms = self.now_ms;
        // Arrivals have draws of their own, so that they are the same whatever the entries decide.
        let mut random = SmallRng::seed_from_u64(self.random.random());
        let mut jobs: Vec<PlayedJob> = Vec::new();
        let mut open: Vec<usize> = Vec::new();
        while self.now_ms < begin_ms + for_ms + CALLER_TIMEOUT_MS + 100 {
            let since_ms = self.now_ms - begin_ms;
            for entry in 0..self.entry_count {
                for priority in 0..KINDS.len() {
                    let per_ms = jobs_per_s(entry, priority, since_ms) / 1_000.0;
                    let count =
                        per_ms.floor() as u64 + u64::from(random.random_bool(per_ms.fract()));
                    let count = if since_ms < for_ms { count } else { 0 };
                    for _ in 0..count {
                        let percent = random.random_range(60..=140);
                        let name = self.submit_to_entry_with_priority(entry, priority, percent);
                        let Some(name) = name else {
                            continue;
                        };
                        open.push(jobs.len());
                        jobs.push(PlayedJob {
                            name,
                            priority,
                            entry,
                            submitted_at_ms: self.now_ms,
                            answered: None,
                        });
                    }
                }
            }
            self.advance(1);
            let now_ms = self.now_ms;
            let answers = &self.observations.answers;
            open.retain(|index| {
                let job = &mut jobs[*index];
                let answer = answers.get(&job.name).and_then(|answers| answers.first());
                job.answered = answer.map(|answer| (*answer, now_ms));
                answer.is_none()
            });
        }
        jobs
    }
}
