//! Requests about jobs that other entries own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Incarnation, RequestId, RosterDigest};
use crate::contract::roster_digest;
use crate::event::EventKind;
use crate::job::{Failure, Refusal};
use crate::message::{Message, RelayRequest, RelayResponse, RosterNotice};

use super::core::Entry;
use super::fence::Fences;
use super::key_table::{KeyTable, Lookup};
use super::{CallerRequest, CallerResponse, EntryAction, EntryCounter, Requester};

/// The most rosters of other entries that are kept.
const ROSTER_COUNT_MAX: usize = 1024;

/// What an entry knows and does about jobs that other entries own.
#[derive(Default)]
pub(super) struct Relays {
    next_request: RequestId,
    /// Requests that are with another entry.
    sent: BTreeMap<RequestId, SentRequest>,
    /// Requests that wait for an owner to be found.
    parked: Vec<ParkedRequest>,
    /// Jobs of lost owners.
    pub(super) fences: Fences,
    /// The sidecars that the digests in tokens stand for, the oldest first.
    rosters: Vec<RosterNotice>,
    /// The entries that answer for stopped ones.
    successors: HashMap<Incarnation, Incarnation>,
    stopping: BTreeSet<Incarnation>,
    /// The keys taken over from stopped entries.
    pub(super) adopted: BTreeMap<Incarnation, KeyTable>,
}

#[value]
struct SentRequest {
    entry: Incarnation,
    requester: Requester,
    request: CallerRequest,
}

#[value]
struct ParkedRequest {
    requester: Requester,
    request: CallerRequest,
    since: Instant,
}

impl Relays {
    /// Notes which sidecars a digest stands for.
    pub(super) fn learn_roster(&mut self, notice: RosterNotice) {
        let is_true = roster_digest(notice.sidecars.iter().copied()) == notice.digest;
        let is_known = self.rosters.iter().any(|known| known == &notice);
        if !is_true || is_known {
            return;
        }
        if self.rosters.len() == ROSTER_COUNT_MAX {
            self.rosters.remove(0);
        }
        self.rosters.push(notice);
    }

    /// Returns the sidecars that a digest stands for, if the entry has heard of it.
    pub(super) fn sidecars_of(&self, digest: RosterDigest) -> Option<BTreeSet<Incarnation>> {
        self.rosters
            .iter()
            .find(|known| known.digest == digest)
            .map(|known| known.sidecars.iter().copied().collect())
    }

    /// Notes which entry answers for a stopped one.
    pub(super) fn learn_successor(&mut self, stopped: Incarnation, successor: Incarnation) {
        self.successors.insert(stopped, successor);
    }

    /// Notes that an entry takes no new jobs.
    pub(super) fn note_stopping(&mut self, entry: Incarnation) {
        self.stopping.insert(entry);
    }

    pub(super) fn is_stopping(&self, entry: Incarnation) -> bool {
        self.stopping.contains(&entry)
    }

    pub(super) fn adopted_owners(&self) -> Vec<Incarnation> {
        self.adopted.keys().copied().collect()
    }

    pub(super) fn hang_up(&mut self, requester: Requester) {
        self.sent.retain(|_, sent| sent.requester != requester);
        self.parked.retain(|parked| parked.requester != requester);
    }

    /// Returns whether no request of a caller of this entry is still under way.
    pub(super) fn is_idle(&self) -> bool {
        self.sent.is_empty() && self.parked.is_empty() && self.fences.is_settled()
    }
}

impl Entry {
    /// Deals with a request of a caller about another entry's job.
    pub(super) fn foreign_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let owner = request.token().incarnation;
        if let Some(response) = self.adopted_response(&request) {
            self.respond(requester, response, actions);
            return;
        }
        let answering = self.answering_entry(owner);
        if let Some(state) = self.settled_fate(request.job_id(), answering.is_some()) {
            self.respond(requester, state.into(), actions);
            return;
        }
        match answering {
            Some(entry) => self.relay(entry, requester, request, actions),
            None => self.relays.parked.push(ParkedRequest {
                requester,
                request,
                since: now,
            }),
        }
    }

    /// Deals with a request that another entry passed on.
    pub(super) fn relayed_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if request.token().incarnation == self.incarnation {
            self.own_request(requester, request, now, actions);
            return;
        }
        let response = self
            .adopted_response(&request)
            .unwrap_or(CallerResponse::failed(Failure::OwnerLost));
        self.respond(requester, response, actions);
    }

    /// Answers from the keys that were taken over from a stopped entry.
    fn adopted_response(&self, request: &CallerRequest) -> Option<CallerResponse> {
        let token = request.token();
        let keys = self.relays.adopted.get(&token.incarnation)?;
        Some(match keys.lookup(token.generation, request.job_id()) {
            Lookup::Expired => CallerResponse::failed(Failure::KeyExpired),
            Lookup::Live { .. } => CallerResponse::failed(Failure::OwnerLost),
            Lookup::Ended {
                content_hash,
                state,
            } => match request {
                CallerRequest::Submit { spec, .. } if spec.content_hash() != content_hash => {
                    CallerResponse::failed(Failure::KeyReused)
                }
                _ => state.clone().into(),
            },
            // The stopped entry handed all its keys over, so it never took this one.
            Lookup::New => match request {
                CallerRequest::Submit { .. } => {
                    CallerResponse::not_run(Refusal::TokenNeeded, Some(Duration::ZERO))
                }
                _ => CallerResponse::Unknown,
            },
        })
    }

    /// Returns the entry that can answer for an owner's tokens, if it can be reached.
    fn answering_entry(&self, owner: Incarnation) -> Option<Incarnation> {
        if self.entries.contains(&owner) {
            return Some(owner);
        }
        let successor = self.relays.successors.get(&owner)?;
        self.entries.contains(successor).then_some(*successor)
    }

    fn relay(
        &mut self,
        entry: Incarnation,
        requester: Requester,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let number = self.relays.next_request;
        self.relays.next_request += 1;
        actions.push(EntryAction::Count(EntryCounter::Relayed));
        actions.push(EntryAction::Record(EventKind::JobRelayed {
            job: request.job_id(),
            owner: request.token().incarnation,
        }));
        actions.push(EntryAction::Send {
            peer: entry,
            message: Message::Relay(RelayRequest {
                request: number,
                body: request.clone(),
            }),
        });
        self.relays.sent.insert(
            number,
            SentRequest {
                entry,
                requester,
                request,
            },
        );
    }

    pub(super) fn take_relay_answer(
        &mut self,
        answer: RelayResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        match self.relays.sent.remove(&answer.request) {
            Some(sent) => self.respond(sent.requester, answer.body, actions),
            None => actions.push(EntryAction::Count(EntryCounter::ReportDropped)),
        }
    }

    /// Passes on what waited for an entry that can now be asked.
    pub(super) fn retry_parked(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        for parked in std::mem::take(&mut self.relays.parked) {
            let owner = parked.request.token().incarnation;
            let is_answerable =
                self.answering_entry(owner).is_some() || self.relays.adopted.contains_key(&owner);
            if is_answerable {
                self.foreign_request(parked.requester, parked.request, now, actions);
            } else {
                self.relays.parked.push(parked);
            }
        }
    }

    /// Looks for another way for the requests that were with an entry that is gone.
    pub(super) fn entry_down(
        &mut self,
        entry: Incarnation,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        self.restart_hand_over(entry);
        let (lost, kept) = std::mem::take(&mut self.relays.sent)
            .into_iter()
            .partition(|(_, sent)| sent.entry == entry);
        self.relays.sent = kept;
        let lost: BTreeMap<RequestId, SentRequest> = lost;
        for sent in lost.into_values() {
            self.foreign_request(sent.requester, sent.request, now, actions);
        }
    }

    /// Gives up waiting for owners and sidecars that do not answer.
    pub(super) fn advance_relays(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.retry_parked(now, actions);
        self.resolve_parked(now, actions);
        self.end_overdue_fences(now, actions);
    }

    fn resolve_parked(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let grace = self.settings.owner_grace;
        let (overdue, parked): (Vec<_>, Vec<_>) = std::mem::take(&mut self.relays.parked)
            .into_iter()
            .partition(|parked| now.duration_since(parked.since) >= grace);
        self.relays.parked = parked;
        for parked in overdue {
            self.resolve_lost_owner(parked.requester, &parked.request, now, actions);
        }
    }

    /// Settles a request whose owner is out of reach.
    fn resolve_lost_owner(
        &mut self,
        requester: Requester,
        request: &CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        match request {
            CallerRequest::Submit { token, .. } => {
                self.fence_job(requester, *token, request.job_id(), now, actions);
            }
            CallerRequest::Status { .. } | CallerRequest::Cancel { .. } => {
                self.respond(requester, CallerResponse::Unknown, actions);
            }
        }
    }
}
