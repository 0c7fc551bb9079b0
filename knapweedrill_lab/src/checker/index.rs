//! An index of task starts by job and task.

use std::collections::BTreeMap;

use knapweedrill::common::{Attempt, Incarnation, JobId, TaskIndex};
use knapweedrill::event::EventKind;
use knapweedrill::job::TaskId;

use super::History;

/// The starts of all tasks in a history.
///
/// Both minions and sidecars report starts: the records of a minion are lost with its process, and
/// a sidecar may be wrong. Tasks are keyed by job and index without the owner, so that starts by
/// two owners count as starts of the same task.
#[derive(Debug, Default)]
pub(super) struct StartIndex {
    jobs: BTreeMap<JobId, BTreeMap<TaskIndex, TaskStarts>>,
}

/// The starts of a task, by who reported them. Times are in microseconds since the Unix epoch.
#[derive(Debug, Default)]
pub(super) struct TaskStarts {
    minion_starts_us: Vec<u64>,
    sidecar_starts: Vec<SidecarStart>,
}

/// A start that a sidecar reported.
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
            starts.minion_starts_us.push(start.start_us);
        }
        for event in history.events() {
            match event.kind {
                EventKind::TaskStarted { task, attempt } => {
                    index.task_mut(task).sidecar_starts.push(SidecarStart {
                        sidecar: event.incarnation,
                        attempt,
                        at_us: event.at.wall_us,
                    });
                }
                EventKind::TaskFenced { task, attempt } => {
                    index.task_mut(task).retract(event.incarnation, attempt);
                }
                _ => {}
            }
        }
        index
    }

    /// Returns the starts of every task that started.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (JobId, TaskIndex, &TaskStarts)> {
        self.jobs
            .iter()
            .flat_map(|(job, tasks)| tasks.iter().map(|(index, starts)| (*job, *index, starts)))
    }

    /// Returns the number of starts of a task.
    pub(super) fn start_count(&self, job: JobId, index: TaskIndex) -> usize {
        let starts = self.jobs.get(&job).and_then(|tasks| tasks.get(&index));
        starts.map_or(0, TaskStarts::count)
    }

    /// Returns the start times of all tasks of a job, as reported by minions and sidecars.
    pub(super) fn job_starts_us(&self, job: JobId) -> impl Iterator<Item = u64> {
        let tasks = self.jobs.get(&job).into_iter().flat_map(BTreeMap::values);
        tasks.flat_map(TaskStarts::start_times_us)
    }

    fn task_mut(&mut self, task: TaskId) -> &mut TaskStarts {
        let tasks = self.jobs.entry(task.job).or_default();
        tasks.entry(task.index).or_default()
    }
}

impl TaskStarts {
    /// Returns the number of starts: that of the minions or the sidecars, whichever is larger.
    pub(super) fn count(&self) -> usize {
        self.minion_starts_us.len().max(self.sidecar_starts.len())
    }

    fn start_times_us(&self) -> impl Iterator<Item = u64> {
        let sidecar_starts_us = self.sidecar_starts.iter().map(|start| start.at_us);
        self.minion_starts_us
            .iter()
            .copied()
            .chain(sidecar_starts_us)
    }

    /// Removes the last start of an attempt after the sidecar reported it as fenced.
    ///
    /// That start did not reach the minion. Starts that a minion recorded still count.
    fn retract(&mut self, sidecar: Incarnation, attempt: Attempt) {
        let last = self
            .sidecar_starts
            .iter()
            .rposition(|start| start.sidecar == sidecar && start.attempt == attempt);
        if let Some(last) = last {
            self.sidecar_starts.remove(last);
        }
    }
}
