//! The queued jobs of one team and class.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::queued_job::WaitingTasks;
use crate::common::{Generation, JobId};

/// The work, in seconds, that one second of waiting offsets in the order of jobs.
///
/// A job never waits behind a job that arrived later than it by more than its own remaining work
/// divided by this factor.
const AGING_FACTOR: u32 = 16;

/// The sort key of a job within its flow; the smallest is dispatched first.
///
/// The job with the least remaining work goes first, which minimises the mean response time. Aging
/// prevents starvation of large jobs: a job is treated as if it had less work the longer it waits.
/// All jobs age at the same rate, so the order of two waiting jobs does not change with time, and
/// the key does not have to be updated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobPriority {
    aged_work: Duration,
    arrived_after: Duration,
    job: JobId,
}

/// The queued jobs of one team and class, in dispatch order.
#[derive(Debug, Default)]
pub(super) struct FlowQueue {
    /// The jobs by generation, since a sidecar may not run the jobs of earlier generations.
    order: BTreeMap<Generation, BTreeSet<JobPriority>>,
    /// The longest expected run time among the waiting tasks of each job.
    longest_tasks: BTreeSet<(Duration, JobId)>,
    task_counts: BTreeMap<Generation, u32>,
    /// The total expected run time of the tasks on a minion of speed 1.
    pub(super) expected_work: Duration,
    /// The sequence number of the last task that was taken from the flow.
    pub(super) last_served_seq: u64,
}

fn priority(job: JobId, tasks: &WaitingTasks) -> JobPriority {
    JobPriority {
        aged_work: tasks.remaining_work + tasks.arrived_after * AGING_FACTOR,
        arrived_after: tasks.arrived_after,
        job,
    }
}

impl FlowQueue {
    /// Inserts a job, unless it has no waiting tasks.
    pub(super) fn insert(&mut self, job: JobId, tasks: &WaitingTasks) {
        if tasks.tasks.is_empty() {
            return;
        }
        let generation = self.order.entry(tasks.generation).or_default();
        generation.insert(priority(job, tasks));
        self.longest_tasks.insert((tasks.longest_task(), job));
        self.expected_work += tasks.remaining_work;
        *self.task_counts.entry(tasks.generation).or_default() += tasks.tasks.len() as u32;
    }

    /// Removes a job, which has to happen before its tasks change.
    pub(super) fn remove(&mut self, job: JobId, tasks: &WaitingTasks) {
        let Some(generation) = self.order.get_mut(&tasks.generation) else {
            return;
        };
        if !generation.remove(&priority(job, tasks)) {
            return;
        }
        if generation.is_empty() {
            self.order.remove(&tasks.generation);
        }
        self.longest_tasks.remove(&(tasks.longest_task(), job));
        self.expected_work -= tasks.remaining_work;
        if let Some(task_count) = self.task_counts.get_mut(&tasks.generation) {
            *task_count -= tasks.tasks.len() as u32;
            if *task_count == 0 {
                self.task_counts.remove(&tasks.generation);
            }
        }
    }

    /// Creates an empty queue that counts as last served at `last_served_seq`.
    pub(super) fn new(last_served_seq: u64) -> Self {
        Self {
            last_served_seq,
            ..Self::default()
        }
    }

    /// Returns whether no task waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the first job of the eligible generations.
    pub(super) fn next_job(&self, is_eligible: impl Fn(Generation) -> bool) -> Option<JobId> {
        self.order
            .iter()
            .filter(|(generation, _)| is_eligible(**generation))
            .filter_map(|(_, jobs)| jobs.first())
            .min()
            .map(|priority| priority.job)
    }

    /// Returns the number of waiting tasks of the eligible generations.
    pub(super) fn task_count(&self, is_eligible: impl Fn(Generation) -> bool) -> u32 {
        self.task_counts
            .iter()
            .filter(|(generation, _)| is_eligible(**generation))
            .map(|(_, task_count)| task_count)
            .sum()
    }

    /// Returns the longest expected run time among the waiting tasks.
    pub(super) fn longest_task(&self) -> Duration {
        self.longest_tasks
            .last()
            .map_or(Duration::ZERO, |(run_time, _)| *run_time)
    }
}
