//! The jobs of one team and class that wait at an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::queued_job::JobTasks;
use crate::common::{Generation, JobId};

/// How much work in front of a job one second of waiting makes up for, in seconds of work.
///
/// A job never waits behind jobs that came more than its own work divided by this after it.
const AGING_FACTOR: u32 = 16;

/// The place of a job among those of its flow; a lesser one goes first.
///
/// Least remaining work goes first, since that gives the best mean response; waiting counts
/// against work, so that a large job is not put off for ever. As all jobs age alike, the order
/// of two waiting jobs does not change with time, and the place needs no renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobPlace {
    aged_work: Duration,
    arrived: Duration,
    job: JobId,
}

/// The jobs of one team and class, in order.
#[derive(Debug, Default)]
pub(super) struct FlowQueue {
    /// The jobs of each generation, as a sidecar may be barred from some generations.
    order: BTreeMap<Generation, BTreeSet<JobPlace>>,
    longest: BTreeSet<(Duration, JobId)>,
    task_counts: BTreeMap<Generation, u32>,
    /// How long the tasks are expected to run in all.
    pub(super) expected_work: Duration,
    /// When the flow was last served, as a number that rises with each task taken.
    pub(super) served_number: u64,
}

fn place(job: JobId, tasks: &JobTasks) -> JobPlace {
    JobPlace {
        aged_work: tasks.remaining + tasks.arrived * AGING_FACTOR,
        arrived: tasks.arrived,
        job,
    }
}

impl FlowQueue {
    /// Enters a job that has tasks.
    pub(super) fn enter(&mut self, job: JobId, tasks: &JobTasks) {
        if tasks.tasks.is_empty() {
            return;
        }
        let generation = self.order.entry(tasks.generation).or_default();
        generation.insert(place(job, tasks));
        self.longest.insert((tasks.longest(), job));
        self.expected_work += tasks.remaining;
        *self.task_counts.entry(tasks.generation).or_default() += tasks.tasks.len() as u32;
    }

    /// Takes a job out before its tasks change.
    pub(super) fn leave(&mut self, job: JobId, tasks: &JobTasks) {
        let Some(generation) = self.order.get_mut(&tasks.generation) else {
            return;
        };
        if !generation.remove(&place(job, tasks)) {
            return;
        }
        if generation.is_empty() {
            self.order.remove(&tasks.generation);
        }
        self.longest.remove(&(tasks.longest(), job));
        self.expected_work -= tasks.remaining;
        if let Some(task_count) = self.task_counts.get_mut(&tasks.generation) {
            *task_count -= tasks.tasks.len() as u32;
            if *task_count == 0 {
                self.task_counts.remove(&tasks.generation);
            }
        }
    }

    /// Creates an empty queue that was last served at `served_number`.
    pub(super) fn new(served_number: u64) -> Self {
        Self {
            served_number,
            ..Self::default()
        }
    }

    /// Returns whether no task waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the job of an eligible generation that goes next.
    pub(super) fn next_job(&self, is_eligible: impl Fn(Generation) -> bool) -> Option<JobId> {
        self.order
            .iter()
            .filter(|(generation, _)| is_eligible(**generation))
            .filter_map(|(_, jobs)| jobs.first())
            .min()
            .map(|place| place.job)
    }

    /// Returns how many tasks of eligible generations wait.
    pub(super) fn task_count(&self, is_eligible: impl Fn(Generation) -> bool) -> u32 {
        self.task_counts
            .iter()
            .filter(|(generation, _)| is_eligible(**generation))
            .map(|(_, task_count)| task_count)
            .sum()
    }

    /// Returns how long the longest waiting task is expected to run.
    pub(super) fn longest(&self) -> Duration {
        self.longest
            .last()
            .map_or(Duration::ZERO, |(expected, _)| *expected)
    }
}
