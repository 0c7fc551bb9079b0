//! What becomes of the tasks that were handed out.

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

/// An attempt that is with a sidecar, as far as the sidecar says.
#[value]
#[derive(Copy)]
struct OutAttempt {
    sidecar: Incarnation,
    task: TaskId,
    attempt: Attempt,
}

impl OutAttempt {
    fn new(sidecar: Incarnation, task: TaskId, attempt: Attempt) -> Self {
        Self {
            sidecar,
            task,
            attempt,
        }
    }
}

impl Entry {
    /// Takes in what a sidecar reports of tasks.
    pub(super) fn take_reports(
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
                    let out = OutAttempt::new(sidecar, task, attempt);
                    self.task_ended(out, outcome, run_time, now, actions);
                }
                TaskReport::NotStarted {
                    task,
                    attempt,
                    reason,
                } => {
                    let out = OutAttempt::new(sidecar, task, attempt);
                    self.task_not_started(out, reason, now, actions);
                }
            }
        }
    }

    /// Takes in what a sidecar knows of tasks in doubt.
    pub(super) fn take_verdicts(
        &mut self,
        sidecar: Incarnation,
        verdicts: Vec<ReconciledTask>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        for ReconciledTask {
            task,
            attempt,
            state,
        } in verdicts
        {
            let out = OutAttempt::new(sidecar, task, attempt);
            match state {
                AttemptState::Running => {}
                AttemptState::Ended { outcome, run_time } => {
                    self.task_ended(out, outcome, run_time, now, actions);
                }
                AttemptState::NeverStarted => {
                    self.task_not_started(out, NotStartedReason::NoSlot, now, actions);
                }
                AttemptState::Unknown => self.task_lost(out, now, actions),
            }
        }
    }

    /// Takes a task off the sidecar's list, and returns it if its job waits for it.
    fn take_back(&mut self, out: OutAttempt, actions: &mut Vec<EntryAction>) -> Option<QueuedTask> {
        let taken = self.take_off(out);
        if !self.is_awaited(taken.is_some(), out, actions) {
            return None;
        }
        taken
    }

    /// Returns whether a job waits for a task that was taken off a sidecar's list, and counts it.
    fn is_awaited(
        &mut self,
        was_taken: bool,
        out: OutAttempt,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        if !was_taken || !self.is_out(out) {
            actions.push(EntryAction::Count(EntryCounter::ReportDropped));
            return false;
        }
        if let Some(live) = self.jobs.get_mut(&out.task.job) {
            live.out_count -= 1;
        }
        true
    }

    fn take_off(&mut self, out: OutAttempt) -> Option<QueuedTask> {
        let tasks = &mut self.sidecars.get_mut(&out.sidecar)?.out;
        if tasks.get(&out.task)?.queued.attempt != out.attempt {
            return None;
        }
        tasks.remove(&out.task).map(|task| task.queued)
    }

    fn is_out(&mut self, out: OutAttempt) -> bool {
        self.jobs
            .get_mut(&out.task.job)
            .and_then(|live| live.task_mut(out.task.index))
            .is_some_and(|live| {
                live.attempt == out.attempt && matches!(live.state, LiveTaskState::Out { .. })
            })
    }

    fn task_ended(
        &mut self,
        out: OutAttempt,
        outcome: TaskOutcome,
        run_time: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let task = out.task;
        let taken = self.take_off(out);
        if let Some(queued) = &taken {
            // A task counts also when it ends after its job.
            self.learn(out.sidecar, queued, &outcome, run_time, now);
        }
        if !self.is_awaited(taken.is_some(), out, actions) {
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
        out: OutAttempt,
        reason: NotStartedReason,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(queued) = self.take_back(out, actions) else {
            return;
        };
        actions.push(EntryAction::Count(EntryCounter::NotStarted));
        match reason {
            NotStartedReason::NoSlot | NotStartedReason::NoMinion | NotStartedReason::Cancelled => {
                self.requeue(queued);
            }
            NotStartedReason::JobFenced => {
                // Another entry has settled the job's fate without this one.
                let failure = Failure::OwnerLost;
                self.end_job(
                    out.task.job,
                    RetainedOutcome::Failed { failure },
                    now,
                    actions,
                );
            }
        }
    }

    fn task_lost(&mut self, out: OutAttempt, now: Instant, actions: &mut Vec<EntryAction>) {
        let task = out.task;
        if self.take_back(out, actions).is_none() {
            return;
        }
        if let Some(live) = self.jobs.get_mut(&task.job) {
            live.may_have_started = true;
        }
        let failure = Failure::TaskLost { index: task.index };
        self.end_job(task.job, RetainedOutcome::Failed { failure }, now, actions);
    }

    /// Gives up the tasks of sidecars that have been out of reach for too long.
    pub(super) fn lose_overdue_sidecars(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let grace = self.settings.sidecar_grace;
        let lost: Vec<Incarnation> = self
            .sidecars
            .iter()
            .filter(|(_, view)| {
                view.down_since
                    .is_some_and(|since| now.duration_since(since) > grace)
            })
            .map(|(sidecar, _)| *sidecar)
            .collect();
        for sidecar in lost {
            self.lose_sidecar(sidecar, now, actions);
        }
    }

    fn lose_sidecar(&mut self, sidecar: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return;
        };
        let is_heard = view.is_heard;
        let service = view.announcement.service.clone();
        for doubt in view.tasks_in_doubt() {
            let out = OutAttempt::new(sidecar, doubt.task, doubt.attempt);
            self.task_lost(out, now, actions);
        }
        if !is_heard {
            self.sidecars.remove(&sidecar);
            self.forget_sidecar(&service, sidecar);
        }
    }

    /// Does what is due.
    pub(super) fn run_timers(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline { job } => self.end_overdue_job(job, now, actions),
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
