//! A job that an entry owns.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::EntrySettings;
use super::answer::CallerId;
use super::submission::{StepRequest, Submission};
use crate::common::{Incarnation, ServiceName, TaskIndex};
use crate::dispatch::configuration::{Queue, Terms};
use crate::dispatch::message::{RefusalCause, RunEnd, TaskReport};
use crate::dispatch::units::millis;
use crate::dispatch::{Attempt, JobName, Room, RunNumber, StepIndex, TaskName};

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// A step before it is not done.
    Blocked,
    /// It waits for room.
    Waiting,
    /// It was sent to a sidecar.
    Placed(Incarnation),
    /// It has ended with success.
    Done,
}

/// Where a job stands after a run of one of its tasks has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// Other tasks have not ended, or this one runs again.
    InProgress,
    /// All tasks have ended with success.
    Completed,
    /// A task has failed as often as it may.
    Failed,
}

/// A task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) step: StepIndex,
    pub(super) index: TaskIndex,
    pub(super) state: TaskState,
    /// The newest placement.
    pub(super) attempt: Attempt,
    pub(super) placement_count: RunNumber,
    pub(super) failed_count: u32,
    /// Where it has failed or was turned down.
    pub(super) avoided_sidecars: SmallVec<[Incarnation; 2]>,
}

/// A job that an entry owns.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) name: JobName,
    pub(super) queue: String,
    pub(super) service: ServiceName,
    pub(super) terms: Terms,
    pub(super) spec: String,
    pub(super) steps: Vec<StepRequest>,
    pub(super) tasks: Vec<Task>,
    pub(super) callers: SmallVec<[CallerId; 1]>,
    pub(super) arrived_at: Instant,
    /// When the callers stop to wait.
    pub(super) caller_deadline: Instant,
    /// The estimate of the longest chain of tasks.
    pub(super) critical_path: Duration,
    /// How many placements have begun, or may have.
    pub(super) begun_count: u32,
}

impl Job {
    pub(super) fn new(
        submission: Submission,
        queue: &Queue,
        caller: CallerId,
        now: Instant,
    ) -> Self {
        let tasks = submission.steps.iter().zip(0..).flat_map(|(step, number)| {
            let state = if step.after.is_empty() {
                TaskState::Waiting
            } else {
                TaskState::Blocked
            };
            (0..step.task_count).map(move |index| Task {
                step: number,
                index,
                state,
                attempt: 0,
                placement_count: 0,
                failed_count: 0,
                avoided_sidecars: SmallVec::new(),
            })
        });
        Self {
            name: submission.name,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            terms: queue.terms,
            tasks: tasks.collect(),
            critical_path: critical_path(&submission.steps),
            spec: submission.spec,
            steps: submission.steps,
            callers: SmallVec::from_elem(caller, 1),
            arrived_at: now,
            caller_deadline: now + submission.caller_timeout,
            begun_count: 0,
        }
    }

    pub(super) fn objective(&self) -> Duration {
        self.terms.objective(self.critical_path)
    }

    /// Returns the latest start with which the job can keep its objective.
    pub(super) fn latest_start(&self) -> Instant {
        self.arrived_at + self.objective().saturating_sub(self.critical_path)
    }

    /// Returns until when its end is of use to its callers.
    pub(super) fn useful_until(&self, settings: &EntrySettings) -> Instant {
        self.arrived_at + self.objective() * settings.objective_multiple_max
    }

    /// Returns the estimate of a task's run time.
    pub(super) fn estimate(&self, position: usize) -> Duration {
        self.steps[usize::from(self.tasks[position].step)].estimate
    }

    /// Returns what a task takes up.
    pub(super) fn room(&self, position: usize) -> Room {
        self.steps[usize::from(self.tasks[position].step)].room
    }

    /// Returns the processor that the tasks which wait take up, in thousandths of a core.
    pub(super) fn waiting_millicores(&self) -> u64 {
        self.waiting_positions()
            .map(|position| u64::from(self.room(position).cpu_millicores))
            .sum()
    }

    /// Returns how many minions the job needs at the least, since so many of its tasks may not share one.
    pub(super) fn minion_count_min(&self) -> usize {
        let needed = self.steps.iter().filter_map(|step| {
            let max = step.per_minion_max?.max(1);
            usize::try_from(step.task_count.div_ceil(max)).ok()
        });
        needed.max().unwrap_or(0)
    }

    /// Returns the positions of the tasks that wait for room.
    pub(super) fn waiting_positions(&self) -> impl Iterator<Item = usize> + '_ {
        let waits = |(_, task): &(usize, &Task)| task.state == TaskState::Waiting;
        let waiting = self.tasks.iter().enumerate().filter(waits);
        waiting.map(|(position, _)| position)
    }

    /// Returns the task of a report, if the placement that it speaks of is the newest.
    pub(super) fn placement(&self, from: Incarnation, report: &TaskReport) -> Option<usize> {
        let position = self.position(report.task)?;
        let task = &self.tasks[position];
        let is_newest = task.state == TaskState::Placed(from) && task.attempt == report.attempt;
        is_newest.then_some(position)
    }

    /// Takes in that a task was sent to a sidecar.
    pub(super) fn mark_placed(&mut self, position: usize, sidecar: Incarnation, attempt: Attempt) {
        self.begun_count += 1;
        let task = &mut self.tasks[position];
        task.attempt = attempt;
        task.placement_count += 1;
        task.state = TaskState::Placed(sidecar);
    }

    /// Takes in that a sidecar has not started a task and will not.
    pub(super) fn mark_refused(&mut self, position: usize, by: Incarnation, cause: RefusalCause) {
        self.begun_count = self.begun_count.saturating_sub(1);
        let task = &mut self.tasks[position];
        task.state = TaskState::Waiting;
        if cause == RefusalCause::Unhealthy {
            task.avoided_sidecars.push(by);
        }
    }

    /// Takes in that a run of a task has ended; returns where that leaves the job.
    pub(super) fn mark_ended(&mut self, position: usize, at: Incarnation, end: RunEnd) -> Progress {
        let task = &mut self.tasks[position];
        match end {
            RunEnd::Done => task.state = TaskState::Done,
            RunEnd::Failed => {
                task.failed_count += 1;
                task.avoided_sidecars.push(at);
                task.state = TaskState::Waiting;
                if task.failed_count >= self.terms.attempt_count_max {
                    return Progress::Failed;
                }
            }
            RunEnd::Stopped | RunEnd::Lost => {
                task.avoided_sidecars.push(at);
                task.state = TaskState::Waiting;
            }
        }
        if self.tasks.iter().all(|task| task.state == TaskState::Done) {
            return Progress::Completed;
        }
        self.unblock();
        Progress::InProgress
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state == TaskState::Waiting)
    }

    pub(super) fn task_name(&self, position: usize) -> TaskName {
        let task = &self.tasks[position];
        TaskName {
            job: self.name,
            step: task.step,
            index: task.index,
        }
    }

    fn position(&self, name: TaskName) -> Option<usize> {
        self.tasks
            .iter()
            .position(|task| task.step == name.step && task.index == name.index)
    }

    /// Returns how many tasks of a step were sent to a sidecar and have not ended.
    pub(super) fn placed_count(&self, step: StepIndex, sidecar: Incarnation) -> u32 {
        let is_there = |task: &&Task| task.step == step && task.state == TaskState::Placed(sidecar);
        u32::try_from(self.tasks.iter().filter(is_there).count()).unwrap_or(u32::MAX)
    }

    /// Lets the tasks wait whose earlier steps are all done.
    fn unblock(&mut self) {
        let done: Vec<bool> = (0..self.steps.len())
            .map(|step| {
                self.tasks
                    .iter()
                    .filter(|task| usize::from(task.step) == step)
                    .all(|task| task.state == TaskState::Done)
            })
            .collect();
        for task in &mut self.tasks {
            let after = &self.steps[usize::from(task.step)].after;
            let is_ready = after.iter().all(|step| done[usize::from(*step)]);
            if task.state == TaskState::Blocked && is_ready {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Returns the processor time that the tasks which wait are going to take, in thousandths
    /// of a core times milliseconds.
    pub(super) fn waiting_work(&self) -> u64 {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting);
        waiting
            .map(|task| {
                let step = &self.steps[usize::from(task.step)];
                u64::from(step.room.cpu_millicores).saturating_mul(millis(step.estimate))
            })
            .sum()
    }
}

/// Returns the estimate of the longest chain of steps; steps name earlier ones only.
fn critical_path(steps: &[StepRequest]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let begin = step.after.iter().map(|before| ends[usize::from(*before)]);
        let begin = begin.max().unwrap_or_default();
        ends.push(begin + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
