//! Jobs whose owner is out of reach, settled by the sidecars.

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

/// How long the verdict on a job of a lost owner is kept.
const VERDICT_MEMORY: Duration = Duration::from_secs(300);

/// The jobs of lost owners that this entry was asked about.
#[value]
#[derive(Default)]
pub(super) struct Fences {
    /// Jobs whose fate the sidecars are being asked for.
    pending: HashMap<JobId, PendingFence>,
    /// What the sidecars had to say.
    verdicts: HashMap<JobId, FenceVerdict>,
}

/// A job that the sidecars are being asked about.
#[value]
struct PendingFence {
    awaited: BTreeSet<Incarnation>,
    requesters: SmallVec<[Requester; 2]>,
    until: Instant,
}

/// What the sidecars had to say of a job.
#[value]
struct FenceVerdict {
    state: RetainedOutcome,
    reached_at: Instant,
}

impl Fences {
    /// Returns whether no sidecar is being asked.
    pub(super) fn is_settled(&self) -> bool {
        self.pending.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        self.verdicts
            .retain(|_, verdict| now.duration_since(verdict.reached_at) < VERDICT_MEMORY);
    }
}

impl Entry {
    /// Returns the fate of a job that the sidecars have settled.
    ///
    /// That nothing ran stands for ever, since the job is fenced. That something may have run is
    /// all that is known only as long as the owner cannot be asked.
    pub(super) fn settled_fate(&self, job: JobId, can_ask_owner: bool) -> Option<RetainedOutcome> {
        let verdict = self.relays.fences.verdicts.get(&job)?;
        let is_final = matches!(verdict.state, RetainedOutcome::NotRun { .. });
        (is_final || !can_ask_owner).then(|| verdict.state.clone())
    }

    /// Asks every sidecar that may ever have started a task of the job.
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
        let sidecars = self.relays.sidecars_of(token.roster);
        let reachable = sidecars.filter(|sidecars| {
            sidecars
                .iter()
                .all(|sidecar| self.sidecars.get(sidecar).is_some_and(|view| view.is_up))
        });
        let Some(awaited) = reachable else {
            self.respond(
                requester,
                CallerResponse::failed(Failure::OwnerLost),
                actions,
            );
            return;
        };
        for sidecar in &awaited {
            actions.push(EntryAction::Send {
                peer: *sidecar,
                message: Message::Fence { token, job },
            });
        }
        let fence = PendingFence {
            awaited,
            requesters: SmallVec::from_iter([requester]),
            until: now + self.settings.fence_timeout,
        };
        self.relays.fences.pending.insert(job, fence);
        self.end_fence_if_settled(job, now, actions);
    }

    /// Takes in what a sidecar knows of a job.
    pub(super) fn take_fence(
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
        fence.awaited.remove(&report.sidecar);
        self.end_fence_if_settled(report.job, now, actions);
    }

    fn end_fence_if_settled(&mut self, job: JobId, now: Instant, actions: &mut Vec<EntryAction>) {
        let is_settled = self
            .relays
            .fences
            .pending
            .get(&job)
            .is_some_and(|fence| fence.awaited.is_empty());
        if is_settled {
            let state = RetainedOutcome::NotRun {
                refusal: Refusal::OwnerLost,
                retry_after: Some(Duration::ZERO),
            };
            self.end_fence(job, state, now, actions);
        }
    }

    /// Gives up on sidecars that do not answer, and forgets old verdicts.
    pub(super) fn end_overdue_fences(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.relays.fences.forget(now);
        let overdue: Vec<JobId> = self
            .relays
            .fences
            .pending
            .iter()
            .filter(|(_, fence)| fence.until <= now)
            .map(|(job, _)| *job)
            .collect();
        for job in overdue {
            let failure = Failure::OwnerLost;
            self.end_fence(job, RetainedOutcome::Failed { failure }, now, actions);
        }
    }

    /// Answers everybody who waits for a job's fate, and keeps the verdict.
    fn end_fence(
        &mut self,
        job: JobId,
        state: RetainedOutcome,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(fence) = self.relays.fences.pending.remove(&job) else {
            return;
        };
        for requester in fence.requesters {
            self.respond(requester, state.clone().into(), actions);
        }
        self.relays.fences.verdicts.insert(
            job,
            FenceVerdict {
                state,
                reached_at: now,
            },
        );
    }
}
