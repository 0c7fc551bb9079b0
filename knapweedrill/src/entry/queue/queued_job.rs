//! Queued jobs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{QueuedTask, RelativeSpeed};
use crate::common::{Generation, JobId, TaskIndex};
use crate::contract::Flow;

/// A job to queue.
#[derive(Debug, Clone)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// The generation of the owner token that the job was submitted with.
    pub generation: Generation,
    /// The team and the class.
    pub flow: Flow,
    /// The tasks.
    pub tasks: Vec<QueuedTask>,
}

/// The sort key of a task within its job: the greatest is the one with the longest expected run
/// time, and among equals the one with the lowest index.
type TaskPriority = (Duration, Reverse<TaskIndex>);

/// The waiting tasks of one job.
#[derive(Debug)]
pub(super) struct WaitingTasks {
    pub(super) flow: Flow,
    pub(super) generation: Generation,
    /// When the job was queued, relative to the creation of the queue.
    pub(super) arrived_after: Duration,
    /// The total expected run time of the waiting tasks.
    pub(super) remaining_work: Duration,
    pub(super) tasks: BTreeMap<TaskPriority, QueuedTask>,
}

fn priority(task: &QueuedTask) -> TaskPriority {
    (task.expected_run_time, Reverse(task.task.index))
}

impl WaitingTasks {
    /// Returns the longest expected run time among the waiting tasks.
    pub(super) fn longest_task(&self) -> Duration {
        self.tasks
            .last_key_value()
            .map_or(Duration::ZERO, |((run_time, _), _)| *run_time)
    }

    pub(super) fn push(&mut self, task: QueuedTask) {
        self.remaining_work += task.expected_run_time;
        self.tasks.insert(priority(&task), task);
    }

    /// Takes the longest task that does not delay the job on the minion, or else the shortest one.
    ///
    /// Without a relative speed, it takes the longest task.
    pub(super) fn pop(&mut self, relative_speed: Option<RelativeSpeed>) -> Option<QueuedTask> {
        let longest_task = self.longest_task();
        let fitting_run_time = relative_speed.map_or(longest_task, |relative_speed| {
            relative_speed.longest_fitting_task(longest_task, self.remaining_work)
        });
        let upper = (fitting_run_time, Reverse(TaskIndex::MIN));
        let chosen = self
            .tasks
            .range(..=upper)
            .next_back()
            .or_else(|| self.tasks.first_key_value())
            .map(|(priority, _)| *priority)?;
        let task = self.tasks.remove(&chosen)?;
        self.remaining_work = self.remaining_work.saturating_sub(task.expected_run_time);
        Some(task)
    }
}
