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
    order: BTreeSet<JobPlace>,
    longest: BTreeSet<(Duration, JobId)>,
    task_counts: BTreeMap<Generation, u32>,
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
        self.order.insert(place(job, tasks));
        self.longest.insert((tasks.longest(), job));
        *self.task_counts.entry(tasks.generation).or_default() += tasks.tasks.len() as u32;
    }

    /// Takes a job out before its tasks change.
    pub(super) fn leave(&mut self, job: JobId, tasks: &JobTasks) {
        if !self.order.remove(&place(job, tasks)) {
            return;
        }
        self.longest.remove(&(tasks.longest(), job));
        if let Some(task_count) = self.task_counts.get_mut(&tasks.generation) {
            *task_count -= tasks.tasks.len() as u32;
            if *task_count == 0 {
                self.task_counts.remove(&tasks.generation);
            }
        }
    }

    /// Returns the jobs, the next one first.
    pub(super) fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.order.iter().map(|place| place.job)
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
