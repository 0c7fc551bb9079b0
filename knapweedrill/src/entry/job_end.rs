//! The end of jobs, and of waits for them.

use std::time::Instant;

use crate::common::JobId;
use crate::event::EventKind;
use crate::job::{Failure, Refusal};
use crate::message::RetainedOutcome;

use super::core::Entry;
use super::live_job::LiveJob;
use super::{CallerResponse, EntryAction, EntryCounter, EntryTimer, Requester};

impl Entry {
    /// Ends a job that its client has no more use for.
    pub(super) fn cancel(&mut self, job: JobId, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let state = unfinished(live, Refusal::Cancelled, Failure::Cancelled);
        self.end_job(job, state, now, actions);
    }

    /// Takes note that a requester no longer waits.
    pub(super) fn hang_up(&mut self, requester: Requester) {
        self.relays.hang_up(requester);
    }

    /// Tells a requester whose wait is over that the job goes on.
    pub(super) fn end_wait(
        &mut self,
        job: JobId,
        requester: Requester,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        let waiting_count = live.waiters.len();
        live.waiters
            .retain(|waiter| waiter.requester != requester || waiter.until > now);
        if live.waiters.len() == waiting_count {
            return;
        }
        let response = CallerResponse::Running {
            ended_count: live.ended_count,
            task_count: live.task_count(),
        };
        self.respond(requester, response, actions);
    }

    /// Ends a job whose deadline has passed.
    pub(super) fn end_overdue_job(
        &mut self,
        job: JobId,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let state = unfinished(live, Refusal::DeadlineExceeded, Failure::DeadlineExceeded);
        self.end_job(job, state, now, actions);
    }

    /// Ends a live job and tells everybody who waits for it.
    pub(super) fn end_job(
        &mut self,
        job: JobId,
        state: RetainedOutcome,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.remove(&job) else {
            return;
        };
        self.dequeue(&live);
        actions.push(EntryAction::Time {
            timer: EntryTimer::JobResponse,
            duration: now.saturating_duration_since(live.accepted_at),
        });
        for sidecar in live.sidecars() {
            self.send_cancel(sidecar, job, actions);
        }
        self.keys.end(live.generation, job, state.clone(), now);
        note_end(job, &state, actions);
        for waiter in &live.waiters {
            self.respond(waiter.requester, state.clone().into(), actions);
        }
    }
}

/// Returns how a job ends that is not complete: not run if that is certain, else failed.
fn unfinished(live: &LiveJob, refusal: Refusal, failure: Failure) -> RetainedOutcome {
    if live.has_certainly_not_run() {
        RetainedOutcome::NotRun {
            refusal,
            retry_after: None,
        }
    } else {
        RetainedOutcome::Failed { failure }
    }
}

fn note_end(job: JobId, state: &RetainedOutcome, actions: &mut Vec<EntryAction>) {
    let (counter, event) = match state {
        RetainedOutcome::Complete { .. } | RetainedOutcome::CompleteEvicted => {
            (EntryCounter::JobCompleted, EventKind::JobCompleted { job })
        }
        RetainedOutcome::Failed { failure } => (
            EntryCounter::JobFailed,
            EventKind::JobFailed {
                job,
                failure: *failure,
            },
        ),
        RetainedOutcome::NotRun { refusal, .. } => (
            EntryCounter::JobNotRun,
            EventKind::JobNotRun {
                job,
                refusal: *refusal,
            },
        ),
    };
    actions.push(EntryAction::Count(counter));
    actions.push(EntryAction::Record(event));
}
