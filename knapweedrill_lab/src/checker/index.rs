//! Starts, looked up by what was started.

use std::collections::BTreeMap;

use knapweedrill::common::{Attempt, Incarnation, JobId, TaskIndex};
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
    sidecars: Vec<SidecarStart>,
}

/// A start that a sidecar tells of.
#[derive(Debug)]
struct SidecarStart {
    sidecar: Incarnation,
    attempt: Attempt,
    at_us: u64,
}

impl StartIndex {
    pub(super) fn new(history: &History) -> Self {
        let mut index = Self::default();
        for start in history.starts() {
            let starts = index.task_mut(start.task);
            starts.minions_us.push(start.start_us);
        }
        for event in history.events() {
            match event.kind {
                EventKind::TaskStarted { task, attempt } => {
                    index.task_mut(task).sidecars.push(SidecarStart {
                        sidecar: event.incarnation,
                        attempt,
                        at_us: event.at.wall_us,
                    });
                }
                EventKind::TaskFenced { task, attempt } => {
                    index.task_mut(task).take_back(event.incarnation, attempt);
                }
                _ => {}
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
        tasks.flat_map(TaskStarts::all_us)
    }

    fn task_mut(&mut self, task: TaskId) -> &mut TaskStarts {
        let tasks = self.jobs.entry(task.job).or_default();
        tasks.entry(task.index).or_default()
    }
}

impl TaskStarts {
    /// Returns how often the task started, by whoever tells of more starts.
    pub(super) fn count(&self) -> usize {
        self.minions_us.len().max(self.sidecars.len())
    }

    fn all_us(&self) -> impl Iterator<Item = u64> {
        let sidecars_us = self.sidecars.iter().map(|start| start.at_us);
        self.minions_us.iter().copied().chain(sidecars_us)
    }

    /// Takes back the last start of an attempt with which a sidecar did not reach its minion.
    ///
    /// What the minion itself tells of a start counts all the same.
    fn take_back(&mut self, sidecar: Incarnation, attempt: Attempt) {
        let last = self
            .sidecars
            .iter()
            .rposition(|start| start.sidecar == sidecar && start.attempt == attempt);
        if let Some(last) = last {
            self.sidecars.remove(last);
        }
    }
}
