//! Fencing of jobs whose owner is unreachable.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;
use smallvec::SmallVec;

use crate::common::{Incarnation, JobId};
use crate::contract::OwnerToken;
use crate::job::{Failure, Refusal};
use crate::message::{FenceReport, Message, RetainedOutcome};

use super::core::Entry;
use super::{CallerResponse, EntryAction, EntryCounter, Requester};

/// How long the outcome of a fence is retained.
const FENCE_OUTCOME_RETENTION: Duration = Duration::from_secs(300);

/// The fences of jobs whose owners are unreachable.
#[value]
#[derive(Default)]
pub(super) struct Fences {
    /// Fences that wait for responses of sidecars.
    pending: HashMap<JobId, PendingFence>,
    /// Outcomes of ended fences.
    outcomes: HashMap<JobId, FenceOutcome>,
}

/// A fence that waits for responses of sidecars.
#[value]
struct PendingFence {
    awaited_sidecars: BTreeSet<Incarnation>,
    requesters: SmallVec<[Requester; 2]>,
    deadline_at: Instant,
}

/// The outcome of an ended fence.
#[value]
struct FenceOutcome {
    outcome: RetainedOutcome,
    ended_at: Instant,
}

impl Fences {
    /// Returns whether no fence waits for responses.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.outcomes
            .retain(|_, fenced| now.duration_since(fenced.ended_at) < FENCE_OUTCOME_RETENTION);
    }
}

impl Entry {
    /// Returns the outcome of a job that was fenced.
    ///
    /// `NotRun` is final, since the sidecars start no task of a fenced job. Any other outcome only
    /// says that tasks may have run, so the owner is asked instead while it is reachable.
    pub(super) fn fenced_outcome(
        &self,
        job: JobId,
        is_owner_reachable: bool,
    ) -> Option<RetainedOutcome> {
        let fenced = self.relays.fences.outcomes.get(&job)?;
        let is_final = matches!(fenced.outcome, RetainedOutcome::NotRun { .. });
        (is_final || !is_owner_reachable).then(|| fenced.outcome.clone())
    }

    /// Fences a job at every sidecar that may have started a task of it.
    ///
    /// Fails with [`Failure::OwnerLost`] if the roster of the token is unknown or one of its
    /// sidecars is unreachable.
    pub(super) fn fence_job(
        &mut self,
        requester: Requester,
        token: OwnerToken,
        job: JobId,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(fence) = self.relays.fences.pending.get_mut(&job) {
            fence.requesters.push(requester);
            return;
        }
        let sidecars = self.relays.roster_sidecars(token.roster);
        let reachable = sidecars.filter(|sidecars| {
            sidecars.iter().all(|sidecar| {
                self.sidecars
                    .get(sidecar)
                    .is_some_and(|view| view.is_connected)
            })
        });
        let Some(awaited_sidecars) = reachable else {
            self.respond(
                requester,
                CallerResponse::failed(Failure::OwnerLost),
                actions,
            );
            return;
        };
        for sidecar in &awaited_sidecars {
            actions.push(EntryAction::Send {
                peer: *sidecar,
                message: Message::Fence { token, job },
            });
        }
        let fence = PendingFence {
            awaited_sidecars,
            requesters: SmallVec::from_iter([requester]),
            deadline_at: now + self.settings.fence_timeout,
        };
        self.relays.fences.pending.insert(job, fence);
        self.end_fence_if_answered(job, now, actions);
    }

    /// Handles the response of a sidecar to a fence.
    pub(super) fn handle_fence_report(
        &mut self,
        report: FenceReport,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(fence) = self.relays.fences.pending.get_mut(&report.job) else {
            actions.push(EntryAction::Count(EntryCounter::ReportDropped));
            return;
        };
        if report.may_have_started {
            let failure = Failure::OwnerLost;
            self.end_fence(
                report.job,
                RetainedOutcome::Failed { failure },
                now,
                actions,
            );
            return;
        }
        fence.awaited_sidecars.remove(&report.sidecar);
        self.end_fence_if_answered(report.job, now, actions);
    }

    fn end_fence_if_answered(&mut self, job: JobId, now: Instant, actions: &mut Vec<EntryAction>) {
        let is_answered = self
            .relays
            .fences
            .pending
            .get(&job)
            .is_some_and(|fence| fence.awaited_sidecars.is_empty());
        if is_answered {
            let outcome = RetainedOutcome::NotRun {
                refusal: Refusal::OwnerLost,
                retry_after: Some(Duration::ZERO),
            };
            self.end_fence(job, outcome, now, actions);
        }
    }

    /// Ends fences whose timeout has passed, and removes expired outcomes.
    pub(super) fn end_expired_fences(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.relays.fences.remove_expired(now);
        let expired: Vec<JobId> = self
            .relays
            .fences
            .pending
            .iter()
            .filter(|(_, fence)| fence.deadline_at <= now)
            .map(|(job, _)| *job)
            .collect();
        for job in expired {
            let failure = Failure::OwnerLost;
            self.end_fence(job, RetainedOutcome::Failed { failure }, now, actions);
        }
    }

    /// Ends a fence: responds to its requesters and retains the outcome.
    fn end_fence(
        &mut self,
        job: JobId,
        outcome: RetainedOutcome,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(fence) = self.relays.fences.pending.remove(&job) else {
            return;
        };
        for requester in fence.requesters {
            self.respond(requester, outcome.clone().into(), actions);
        }
        self.relays.fences.outcomes.insert(
            job,
            FenceOutcome {
                outcome,
                ended_at: now,
            },
        );
    }
}
