//! The end of jobs and of waits for them.

use std::time::Instant;

use crate::common::JobId;
use crate::event::EventKind;
use crate::job::{Failure, Refusal};
use crate::message::RetainedOutcome;

use super::core::Entry;
use super::live_job::LiveJob;
use super::{CallerResponse, EntryAction, EntryCounter, EntryTimer, Requester};

impl Entry {
    /// Ends a live job that was cancelled.
    pub(super) fn cancel(&mut self, job: JobId, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let outcome = incomplete_outcome(live, Refusal::Cancelled, Failure::Cancelled);
        self.end_job(job, outcome, now, actions);
    }

    /// Drops the relayed requests of a requester that no longer waits.
    pub(super) fn drop_requester(&mut self, requester: Requester) {
        self.relays.drop_requester(requester);
    }

    /// Responds that the job is still running to a requester whose wait is over.
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
            .retain(|waiter| waiter.requester != requester || waiter.wait_until > now);
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
    pub(super) fn end_expired_job(
        &mut self,
        job: JobId,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let outcome =
            incomplete_outcome(live, Refusal::DeadlineExceeded, Failure::DeadlineExceeded);
        self.end_job(job, outcome, now, actions);
    }

    /// Ends a live job, cancels its outstanding tasks and responds to its waiters.
    pub(super) fn end_job(
        &mut self,
        job: JobId,
        outcome: RetainedOutcome,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.remove(&job) else {
            return;
        };
        self.dequeue(&live);
        actions.push(EntryAction::RecordDuration {
            timer: EntryTimer::JobResponse,
            duration: now.saturating_duration_since(live.accepted_at),
        });
        for sidecar in live.sidecars() {
            self.send_cancel(sidecar, job, actions);
        }
        self.keys
            .record_end(live.generation, job, outcome.clone(), now);
        record_job_end(job, &outcome, actions);
        for waiter in &live.waiters {
            self.respond(waiter.requester, outcome.clone().into(), actions);
        }
    }
}

/// Returns the outcome of an incomplete job: `NotRun` if no task can have started, else `Failed`.
fn incomplete_outcome(live: &LiveJob, refusal: Refusal, failure: Failure) -> RetainedOutcome {
    if live.has_certainly_not_run() {
        RetainedOutcome::NotRun {
            refusal,
            retry_after: None,
        }
    } else {
        RetainedOutcome::Failed { failure }
    }
}

fn record_job_end(job: JobId, outcome: &RetainedOutcome, actions: &mut Vec<EntryAction>) {
    let (counter, event) = match outcome {
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
