//! A job that an entry owns.

use std::ops::Add;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::EntrySettings;
use super::answer::CallerId;
use super::submission::{StepRequest, Submission};
use super::task_placement::TaskPlacement;
use super::waiting_work::WaitingWork;
use crate::common::{Incarnation, ServiceName, TaskIndex};
use crate::dispatch::configuration::{Queue, QueuePolicy};
use crate::dispatch::message::{RefusalCause, RunEnd, TaskReport};
use crate::dispatch::units::millis;
use crate::dispatch::{Attempt, JobName, QueueTag, Resources, RunNumber, StepIndex, TaskName};

/// The number of minions that may crash during the runs of one task before its job fails.
const CRASH_COUNT_MAX: u32 = 2;

/// The number of minions that may crash while they may have been running one task, whether they
/// confirmed it or not, before its job is given up.
const POSSIBLE_CRASH_COUNT_MAX: u32 = 3;

/// The bytes of a start order besides its text, with those of a datagram that carries two orders.
const ORDER_OVERHEAD_BYTES: u64 = 120;

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// A step that it depends on is not done.
    Blocked,
    /// It is waiting for a minion with free resources.
    Waiting,
    /// It was sent to this sidecar.
    Placed(Incarnation),
    /// It succeeded.
    Done,
}

/// The progress of a job after a run of one of its tasks has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// Some tasks have not succeeded yet and may still do so.
    Ongoing,
    /// All tasks succeeded.
    Completed,
    /// A task used up its attempts without success.
    Failed,
    /// A task has crashed a minion on which no other job ran, and is not started again.
    GivenUp,
}

/// A task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) step: StepIndex,
    pub(super) index: TaskIndex,
    pub(super) state: TaskState,
    /// The attempt number of the newest placement.
    pub(super) attempt: Attempt,
    pub(super) placement_count: RunNumber,
    pub(super) failed_count: u32,
    /// The number of runs during which the minion crashed.
    pub(super) crash_count: u32,
    /// The crashes of minions that may have been running it, confirmed or not.
    pub(super) possible_crash_count: u32,
    /// The sidecars where it failed, was lost or stopped, or was refused as unhealthy.
    pub(super) avoided_sidecars: SmallVec<[Incarnation; 2]>,
}

/// A job that an entry owns.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) name: JobName,
    pub(super) queue: String,
    pub(super) queue_tag: QueueTag,
    pub(super) service: ServiceName,
    pub(super) policy: QueuePolicy,
    pub(super) spec: String,
    pub(super) steps: Vec<StepRequest>,
    pub(super) tasks: Vec<Task>,
    pub(super) callers: SmallVec<[CallerId; 1]>,
    pub(super) arrived_at: Instant,
    /// When the last caller stops waiting for the answer.
    pub(super) caller_deadline: Instant,
    /// The estimated run time of the longest chain of dependent steps.
    pub(super) critical_path: Duration,
    /// The number of placements that were started or may have been.
    pub(super) started_count: u32,
    /// Whether it can no longer meet its objective.
    pub(super) is_overdue: bool,
    /// The sidecar where the job is on trial.
    trial_at: Option<Incarnation>,
    /// The estimated run time of the longest chain of dependent steps that are not done.
    remaining_path: Duration,
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
                crash_count: 0,
                possible_crash_count: 0,
                avoided_sidecars: SmallVec::new(),
            })
        });
        let critical_path = critical_path(&submission.steps, |_| false);
        Self {
            name: submission.name,
            queue: queue.name.clone(),
            queue_tag: queue.tag(),
            service: queue.service.clone(),
            policy: queue.policy,
            tasks: tasks.collect(),
            critical_path,
            remaining_path: critical_path,
            spec: submission.spec,
            steps: submission.steps,
            callers: SmallVec::from_elem(caller, 1),
            arrived_at: now,
            caller_deadline: now + submission.caller_timeout,
            started_count: 0,
            is_overdue: false,
            trial_at: None,
        }
    }

    pub(super) fn objective(&self) -> Duration {
        self.policy.objective(self.critical_path)
    }

    /// Returns the latest start with which the job can meet its objective.
    pub(super) fn latest_start(&self) -> Instant {
        self.arrived_at + self.objective().saturating_sub(self.critical_path)
    }

    /// Returns whether the job would miss its objective even if its waiting tasks started now.
    pub(super) fn misses_objective(&self, now: Instant) -> bool {
        now + self.remaining_path > self.arrived_at + self.objective()
    }

    /// Returns how long a task with the given estimate may run so that the job meets its objective.
    pub(super) fn run_time_left(&self, estimate: Duration, now: Instant) -> Duration {
        let until_objective = (self.arrived_at + self.objective()).saturating_duration_since(now);
        until_objective.saturating_sub(self.remaining_path.saturating_sub(estimate))
    }

    /// Returns the time after which the result is of no use to the callers.
    pub(super) fn useful_until(&self, settings: &EntrySettings) -> Instant {
        self.arrived_at + self.objective() * settings.objective_multiple_max
    }

    /// Returns the estimate of a task's run time.
    pub(super) fn estimate(&self, position: usize) -> Duration {
        self.steps[usize::from(self.tasks[position].step)].estimate
    }

    /// Returns the resources that a task requires.
    pub(super) fn resources(&self, position: usize) -> Resources {
        self.steps[usize::from(self.tasks[position].step)].resources
    }

    /// Returns the CPU that the waiting tasks require, in millicores.
    pub(super) fn waiting_millicores(&self) -> u64 {
        self.waiting_positions()
            .map(|position| u64::from(self.resources(position).cpu_millicores))
            .sum()
    }

    /// Returns the estimated work of a task, in millicores times milliseconds.
    pub(super) fn millicore_ms(&self, position: usize) -> u64 {
        let millicores = u64::from(self.resources(position).cpu_millicores);
        millicores.saturating_mul(millis(self.estimate(position)))
    }

    /// Returns the estimated work of all tasks, in millicores times milliseconds.
    pub(super) fn total_millicore_ms(&self) -> u64 {
        let works = self.steps.iter().map(|step| {
            u64::from(step.resources.cpu_millicores)
                .saturating_mul(millis(step.estimate))
                .saturating_mul(step.task_count.into())
        });
        works.fold(0, u64::saturating_add)
    }

    /// Returns the minimum number of minions that the job needs because its steps limit the tasks
    /// per minion.
    pub(super) fn minion_count_min(&self) -> usize {
        let needed = self.steps.iter().filter_map(|step| {
            let max = step.per_minion_max?.max(1);
            usize::try_from(step.task_count.div_ceil(max)).ok()
        });
        needed.max().unwrap_or(0)
    }

    /// Returns the positions of the waiting tasks.
    pub(super) fn waiting_positions(&self) -> impl Iterator<Item = usize> + '_ {
        let waits = |(_, task): &(usize, &Task)| task.state == TaskState::Waiting;
        let waiting = self.tasks.iter().enumerate().filter(waits);
        waiting.map(|(position, _)| position)
    }

    /// Returns the placements of its tasks whose outcome is open.
    pub(super) fn placements(&self) -> impl Iterator<Item = TaskPlacement> + '_ {
        self.tasks
            .iter()
            .enumerate()
            .filter_map(|(position, task)| {
                let TaskState::Placed(sidecar) = task.state else {
                    return None;
                };
                Some(TaskPlacement {
                    task: self.task_name(position),
                    sidecar,
                    attempt: task.attempt,
                })
            })
    }

    /// Returns the position of the task that a report is about. Reports on older placements yield
    /// `None`.
    pub(super) fn placement(&self, from: Incarnation, report: &TaskReport) -> Option<usize> {
        let position = self.position(report.task)?;
        let task = &self.tasks[position];
        let is_newest = task.state == TaskState::Placed(from) && task.attempt == report.attempt;
        is_newest.then_some(position)
    }

    /// Records that a task was sent to a sidecar.
    pub(super) fn mark_placed(&mut self, position: usize, sidecar: Incarnation, attempt: Attempt) {
        self.started_count += 1;
        let task = &mut self.tasks[position];
        task.attempt = attempt;
        task.placement_count += 1;
        task.state = TaskState::Placed(sidecar);
    }

    /// Records that a sidecar refused a task without starting it.
    pub(super) fn mark_refused(&mut self, position: usize, by: Incarnation, cause: RefusalCause) {
        self.started_count = self.started_count.saturating_sub(1);
        let task = &mut self.tasks[position];
        task.state = TaskState::Waiting;
        if cause == RefusalCause::Unhealthy {
            task.avoided_sidecars.push(by);
        }
    }

    /// Records the end of a run and returns the progress of the job.
    pub(super) fn mark_ended(&mut self, position: usize, at: Incarnation, end: RunEnd) -> Progress {
        let task = &mut self.tasks[position];
        match end {
            RunEnd::Done => task.state = TaskState::Done,
            RunEnd::Failed => {
                task.failed_count += 1;
                task.avoided_sidecars.push(at);
                task.state = TaskState::Waiting;
                if task.failed_count >= self.policy.attempt_count_max {
                    return Progress::Failed;
                }
            }
            RunEnd::Crashed | RunEnd::CrashedUnconfirmed => {
                task.crash_count += u32::from(end == RunEnd::Crashed);
                task.possible_crash_count += 1;
                task.avoided_sidecars.push(at);
                task.state = TaskState::Waiting;
                if task.crash_count >= CRASH_COUNT_MAX {
                    return Progress::Failed;
                }
                if task.possible_crash_count >= POSSIBLE_CRASH_COUNT_MAX {
                    return Progress::GivenUp;
                }
                if self.trial_at == Some(at) {
                    // Nothing else ran there, so another start would crash another minion.
                    return Progress::GivenUp;
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
        self.remaining_path = critical_path(&self.steps, |step| self.is_step_done(step));
        self.unblock();
        Progress::Ongoing
    }

    /// Returns the sidecar where the job is on trial, as long as tasks are placed there.
    pub(super) fn trial_at(&self) -> Option<Incarnation> {
        self.trial_at.filter(|sidecar| {
            let mut states = self.tasks.iter().map(|task| task.state);
            states.any(|state| state == TaskState::Placed(*sidecar))
        })
    }

    /// Records that a task was placed for a trial of the job.
    pub(super) fn begin_trial(&mut self, sidecar: Incarnation) {
        self.trial_at = Some(sidecar);
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

    /// Returns the number of tasks of a step that are placed at a sidecar.
    pub(super) fn placed_count(&self, step: StepIndex, sidecar: Incarnation) -> u32 {
        let is_there = |task: &&Task| task.step == step && task.state == TaskState::Placed(sidecar);
        u32::try_from(self.tasks.iter().filter(is_there).count()).unwrap_or(u32::MAX)
    }

    /// Returns the placements of the other tasks of a task's step.
    pub(super) fn placed_siblings(&self, position: usize) -> SmallVec<[(Incarnation, Attempt); 8]> {
        let step = self.tasks[position].step;
        let siblings = self.tasks.iter().filter(|task| task.step == step);
        let placed = siblings.filter_map(|task| match task.state {
            TaskState::Placed(sidecar) => Some((sidecar, task.attempt)),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        });
        placed.collect()
    }

    /// Returns the CPU that the waiting tasks of a task's step require from this one on, in
    /// millicores.
    pub(super) fn waiting_step_millicores(&self, position: usize) -> u64 {
        let step = self.tasks[position].step;
        let later = self.waiting_positions().filter(|other| *other >= position);
        later
            .filter(|other| self.tasks[*other].step == step)
            .map(|other| u64::from(self.resources(other).cpu_millicores))
            .sum()
    }

    /// Returns whether all tasks of a step have succeeded.
    fn is_step_done(&self, step: usize) -> bool {
        self.tasks
            .iter()
            .filter(|task| usize::from(task.step) == step)
            .all(|task| task.state == TaskState::Done)
    }

    /// Moves blocked tasks to the waiting state if all steps that they depend on are done.
    fn unblock(&mut self) {
        let done: Vec<bool> = (0..self.steps.len())
            .map(|step| self.is_step_done(step))
            .collect();
        for task in &mut self.tasks {
            let after = &self.steps[usize::from(task.step)].after;
            let is_ready = after.iter().all(|step| done[usize::from(*step)]);
            if task.state == TaskState::Blocked && is_ready {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Returns the estimated work of the waiting tasks.
    pub(super) fn waiting_work(&self) -> WaitingWork {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting);
        let works = waiting.map(|task| {
            let step = &self.steps[usize::from(task.step)];
            let millicores = u64::from(step.resources.cpu_millicores);
            WaitingWork {
                millicore_ms: millicores.saturating_mul(millis(step.estimate)),
                millicores,
                order_bytes: self.spec.len() as u64 + ORDER_OVERHEAD_BYTES,
            }
        });
        works.fold(WaitingWork::default(), WaitingWork::add)
    }
}

/// Returns the estimated run time of the longest chain of dependent steps that are not done. A step
/// can only depend on earlier ones.
fn critical_path(steps: &[StepRequest], is_done: impl Fn(usize) -> bool) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let start = step.after.iter().map(|before| ends[usize::from(*before)]);
        let start = start.max().unwrap_or_default();
        let is_left = !is_done(index);
        ends.push(start + step.estimate * u32::from(is_left));
    }
    ends.into_iter().max().unwrap_or_default()
}
