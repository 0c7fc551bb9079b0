//! Task reports of sidecars, and the loss of sidecars.

use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Attempt, Incarnation, TaskIndex};
use crate::job::{Failure, TaskFailure, TaskId, TaskOutcome};
use crate::message::{AttemptState, NotStartedReason, ReconciledTask, RetainedOutcome, TaskReport};

use super::core::Entry;
use super::live_job::LiveTaskState;
use super::queue::QueuedTask;
use super::timers::Timer;
use super::{EntryAction, EntryCounter};

/// An attempt of a task at a sidecar.
#[value]
#[derive(Copy)]
struct TaskAttempt {
    sidecar: Incarnation,
    task: TaskId,
    number: Attempt,
}

impl TaskAttempt {
    fn new(sidecar: Incarnation, task: TaskId, number: Attempt) -> Self {
        Self {
            sidecar,
            task,
            number,
        }
    }
}

impl Entry {
    /// Handles the task reports of a sidecar.
    pub(super) fn handle_task_reports(
        &mut self,
        sidecar: Incarnation,
        reports: Vec<TaskReport>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        for report in reports {
            match report {
                TaskReport::Ended {
                    task,
                    attempt,
                    outcome,
                    run_time,
                } => {
                    let attempt = TaskAttempt::new(sidecar, task, attempt);
                    self.task_ended(attempt, outcome, run_time, now, actions);
                }
                TaskReport::NotStarted {
                    task,
                    attempt,
                    reason,
                } => {
                    let attempt = TaskAttempt::new(sidecar, task, attempt);
                    self.task_not_started(attempt, reason, now, actions);
                }
            }
        }
    }

    /// Handles the state of attempts that were reconciled with a sidecar after it reconnected.
    pub(super) fn handle_reconciled(
        &mut self,
        sidecar: Incarnation,
        tasks: Vec<ReconciledTask>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        for ReconciledTask {
            task,
            attempt,
            state,
        } in tasks
        {
            let attempt = TaskAttempt::new(sidecar, task, attempt);
            match state {
                AttemptState::Running => {}
                AttemptState::Ended { outcome, run_time } => {
                    self.task_ended(attempt, outcome, run_time, now, actions);
                }
                AttemptState::NeverStarted => {
                    self.task_not_started(attempt, NotStartedReason::NoSlot, now, actions);
                }
                AttemptState::Unknown => self.task_lost(attempt, now, actions),
            }
        }
    }

    /// Removes an attempt from the sidecar's list, and returns its task if the job waits for it.
    fn take_awaited(
        &mut self,
        attempt: TaskAttempt,
        actions: &mut Vec<EntryAction>,
    ) -> Option<QueuedTask> {
        let taken = self.remove_outstanding(attempt);
        if !self.is_awaited(taken.is_some(), attempt, actions) {
            return None;
        }
        taken
    }

    /// Returns whether a job waits for an attempt, and updates the job's outstanding count.
    ///
    /// Counts a report that no job waits for as dropped.
    fn is_awaited(
        &mut self,
        was_outstanding: bool,
        attempt: TaskAttempt,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        if !was_outstanding || !self.is_current_attempt(attempt) {
            actions.push(EntryAction::Count(EntryCounter::ReportDropped));
            return false;
        }
        if let Some(live) = self.jobs.get_mut(&attempt.task.job) {
            live.outstanding_count -= 1;
        }
        true
    }

    fn remove_outstanding(&mut self, attempt: TaskAttempt) -> Option<QueuedTask> {
        let tasks = &mut self.sidecars.get_mut(&attempt.sidecar)?.outstanding;
        if tasks.get(&attempt.task)?.queued.attempt != attempt.number {
            return None;
        }
        tasks.remove(&attempt.task).map(|task| task.queued)
    }

    fn is_current_attempt(&mut self, attempt: TaskAttempt) -> bool {
        self.jobs
            .get_mut(&attempt.task.job)
            .and_then(|live| live.task_mut(attempt.task.index))
            .is_some_and(|live| {
                live.attempt == attempt.number
                    && matches!(live.state, LiveTaskState::HandedOut { .. })
            })
    }

    fn task_ended(
        &mut self,
        attempt: TaskAttempt,
        outcome: TaskOutcome,
        run_time: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let task = attempt.task;
        let taken = self.remove_outstanding(attempt);
        if let Some(queued) = &taken {
            // The estimates also use tasks that end after their job.
            self.record_task_end(attempt.sidecar, queued, &outcome, run_time, now);
        }
        if !self.is_awaited(taken.is_some(), attempt, actions) {
            return;
        }
        match outcome {
            TaskOutcome::Done { result } => self.task_done(task, result, now, actions),
            TaskOutcome::Failed { failure } => {
                let failure = job_failure(failure, task.index);
                self.end_job(task.job, RetainedOutcome::Failed { failure }, now, actions);
            }
        }
    }

    fn task_done(
        &mut self,
        task: TaskId,
        result: Vec<u8>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get_mut(&task.job) else {
            return;
        };
        live.may_have_started = true;
        live.ended_count += 1;
        if let Some(live_task) = live.task_mut(task.index) {
            live_task.state = LiveTaskState::Done { result };
        }
        if live.is_complete() {
            let results = live.take_results();
            self.end_job(
                task.job,
                RetainedOutcome::Complete { results },
                now,
                actions,
            );
        }
    }

    fn task_not_started(
        &mut self,
        attempt: TaskAttempt,
        reason: NotStartedReason,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(queued) = self.take_awaited(attempt, actions) else {
            return;
        };
        actions.push(EntryAction::Count(EntryCounter::NotStarted));
        match reason {
            NotStartedReason::NoSlot | NotStartedReason::NoMinion | NotStartedReason::Cancelled => {
                self.requeue(queued);
            }
            NotStartedReason::JobFenced => {
                // Another entry fenced the job while this entry was unreachable to it.
                let failure = Failure::OwnerLost;
                self.end_job(
                    attempt.task.job,
                    RetainedOutcome::Failed { failure },
                    now,
                    actions,
                );
            }
        }
    }

    fn task_lost(&mut self, attempt: TaskAttempt, now: Instant, actions: &mut Vec<EntryAction>) {
        let task = attempt.task;
        if self.take_awaited(attempt, actions).is_none() {
            return;
        }
        if let Some(live) = self.jobs.get_mut(&task.job) {
            live.may_have_started = true;
        }
        let failure = Failure::TaskLost { index: task.index };
        self.end_job(task.job, RetainedOutcome::Failed { failure }, now, actions);
    }

    /// Drops the sidecars that have been disconnected for longer than the grace period.
    pub(super) fn drop_unreachable_sidecars(
        &mut self,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let grace = self.settings.sidecar_grace;
        let lost: Vec<Incarnation> = self
            .sidecars
            .iter()
            .filter(|(_, view)| {
                view.disconnected_at
                    .is_some_and(|since| now.duration_since(since) > grace)
            })
            .map(|(sidecar, _)| *sidecar)
            .collect();
        for sidecar in lost {
            self.drop_sidecar(sidecar, now, actions);
        }
    }

    /// Fails the jobs with outstanding tasks at a sidecar, and removes it if it is not alive.
    fn drop_sidecar(&mut self, sidecar: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return;
        };
        let is_alive = view.is_alive;
        let service = view.announcement.service.clone();
        for in_doubt in view.tasks_in_doubt() {
            let attempt = TaskAttempt::new(sidecar, in_doubt.task, in_doubt.attempt);
            self.task_lost(attempt, now, actions);
        }
        if !is_alive {
            self.sidecars.remove(&sidecar);
            self.remove_sidecar_health(&service, sidecar);
        }
    }

    /// Runs the timers that are due.
    pub(super) fn run_timers(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline { job } => self.end_expired_job(job, now, actions),
                Timer::Wait { job, requester } => self.end_wait(job, requester, now, actions),
            }
        }
    }
}

fn job_failure(failure: TaskFailure, index: TaskIndex) -> Failure {
    match failure {
        TaskFailure::Timeout => Failure::DeadlineExceeded,
        TaskFailure::Cancelled => Failure::Cancelled,
        TaskFailure::MinionError => Failure::TaskFailed { index },
        TaskFailure::ConnectionLost => Failure::TaskLost { index },
    }
}
