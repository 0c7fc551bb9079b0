//! A job whose tasks wait at an entry.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{MinionPace, QueuedTask};
use crate::common::{Generation, JobId, TaskIndex};
use crate::contract::Flow;

/// A job to queue.
#[derive(Debug, Clone)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// Which of the entry's tokens the job came under.
    pub generation: Generation,
    /// The team and class.
    pub flow: Flow,
    /// The tasks.
    pub tasks: Vec<QueuedTask>,
}

/// The place of a task among those of its job: the longest expected one is the greatest, then the
/// first submitted.
type TaskPlace = (Duration, Reverse<TaskIndex>);

/// The waiting tasks of one job.
#[derive(Debug)]
pub(super) struct JobTasks {
    pub(super) flow: Flow,
    pub(super) generation: Generation,
    /// When the job came, since the queue was made.
    pub(super) arrived: Duration,
    pub(super) remaining: Duration,
    pub(super) tasks: BTreeMap<TaskPlace, QueuedTask>,
}

fn place(task: &QueuedTask) -> TaskPlace {
    (task.expected, Reverse(task.task.index))
}

impl JobTasks {
    /// Returns how long the longest waiting task is expected to run.
    pub(super) fn longest(&self) -> Duration {
        self.tasks
            .last_key_value()
            .map_or(Duration::ZERO, |((expected, _), _)| *expected)
    }

    pub(super) fn push(&mut self, task: QueuedTask) {
        self.remaining += task.expected;
        self.tasks.insert(place(&task), task);
    }

    /// Takes the longest task that does not delay the job on that minion, or else the shortest.
    ///
    /// Without a pace it takes the longest.
    pub(super) fn pop(&mut self, pace: Option<MinionPace>) -> Option<QueuedTask> {
        let longest = self.longest();
        let fitting = pace.map_or(longest, |pace| {
            pace.longest_fitting(longest, self.remaining)
        });
        let upper = (fitting, Reverse(TaskIndex::MIN));
        let chosen = self
            .tasks
            .range(..=upper)
            .next_back()
            .or_else(|| self.tasks.first_key_value())
            .map(|(place, _)| *place)?;
        let task = self.tasks.remove(&chosen)?;
        self.remaining = self.remaining.saturating_sub(task.expected);
        Some(task)
    }
}
