//! Starts, looked up by what was started.

use std::collections::BTreeMap;

use knapweedrill::common::{JobId, TaskIndex};
use knapweedrill::event::EventKind;
use knapweedrill::job::TaskId;

use super::History;

/// When the tasks of a history started.
///
/// Minions and sidecars both tell of starts: what a minion knew is lost with its process, and a
/// sidecar may be wrong. A task is found by job and index, so that a second owner shows.
#[derive(Debug, Default)]
pub(super) struct StartIndex {
    jobs: BTreeMap<JobId, BTreeMap<TaskIndex, TaskStarts>>,
}

/// When a task started, by who says so; in microseconds since the Unix epoch.
#[derive(Debug, Default)]
pub(super) struct TaskStarts {
    minions_us: Vec<u64>,
    sidecars_us: Vec<u64>,
}

impl StartIndex {
    pub(super) fn new(history: &History) -> Self {
        let mut index = Self::default();
        for start in history.starts() {
            let starts = index.task_mut(start.task);
            starts.minions_us.push(start.start_us);
        }
        for event in history.events() {
            if let EventKind::TaskStarted { task, .. } = event.kind {
                let starts = index.task_mut(task);
                starts.sidecars_us.push(event.at.wall_us);
            }
        }
        index
    }

    /// Returns every task that started.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (JobId, TaskIndex, &TaskStarts)> {
        self.jobs
            .iter()
            .flat_map(|(job, tasks)| tasks.iter().map(|(index, starts)| (*job, *index, starts)))
    }

    /// Returns how often a task started.
    pub(super) fn start_count(&self, job: JobId, index: TaskIndex) -> usize {
        let starts = self.jobs.get(&job).and_then(|tasks| tasks.get(&index));
        starts.map_or(0, TaskStarts::count)
    }

    /// Returns when the tasks of a job started, by whoever says so.
    pub(super) fn job_starts_us(&self, job: JobId) -> impl Iterator<Item = u64> {
        let tasks = self.jobs.get(&job).into_iter().flat_map(BTreeMap::values);
        tasks.flat_map(|starts| starts.minions_us.iter().chain(&starts.sidecars_us).copied())
    }

    fn task_mut(&mut self, task: TaskId) -> &mut TaskStarts {
        let tasks = self.jobs.entry(task.job).or_default();
        tasks.entry(task.index).or_default()
    }
}

impl TaskStarts {
    /// Returns how often the task started, by whoever tells of more starts.
    pub(super) fn count(&self) -> usize {
        self.minions_us.len().max(self.sidecars_us.len())
    }
}
