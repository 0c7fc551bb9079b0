//! Relaying of requests about jobs that other entries own.

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
use super::key_table::{KeyLookup, KeyTable};
use super::{CallerRequest, CallerResponse, EntryAction, EntryCounter, Requester};

/// The largest number of rosters that are retained.
const ROSTER_COUNT_MAX: usize = 1024;

/// The state of requests about jobs that other entries own.
#[derive(Default)]
pub(super) struct RelayTable {
    next_request: RequestId,
    /// Requests that were relayed and have no response yet.
    sent: BTreeMap<RequestId, SentRequest>,
    /// Requests that wait for their owner or its successor to connect.
    parked: Vec<ParkedRequest>,
    /// Fences of jobs whose owners are unreachable.
    pub(super) fences: Fences,
    /// The rosters behind the digests in tokens, the oldest first.
    rosters: Vec<RosterNotice>,
    /// The entry that took over the keys of each stopped entry.
    successors: HashMap<Incarnation, Incarnation>,
    stopping: BTreeSet<Incarnation>,
    /// The keys that were taken over from stopped entries, by their owner.
    pub(super) taken_over_keys: BTreeMap<Incarnation, KeyTable>,
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

impl RelayTable {
    /// Stores a roster, unless its digest is wrong or it is known already.
    pub(super) fn add_roster(&mut self, notice: RosterNotice) {
        let is_digest_correct = roster_digest(notice.sidecars.iter().copied()) == notice.digest;
        let is_known = self.rosters.iter().any(|known| known == &notice);
        if !is_digest_correct || is_known {
            return;
        }
        if self.rosters.len() == ROSTER_COUNT_MAX {
            self.rosters.remove(0);
        }
        self.rosters.push(notice);
    }

    /// Returns the roster behind a digest, or `None` if the digest is unknown.
    pub(super) fn roster_sidecars(&self, digest: RosterDigest) -> Option<BTreeSet<Incarnation>> {
        self.rosters
            .iter()
            .find(|known| known.digest == digest)
            .map(|known| known.sidecars.iter().copied().collect())
    }

    /// Records which entry took over the keys of a stopped one.
    pub(super) fn set_successor(&mut self, stopped: Incarnation, successor: Incarnation) {
        self.successors.insert(stopped, successor);
    }

    /// Records that an entry is stopping.
    pub(super) fn mark_stopping(&mut self, entry: Incarnation) {
        self.stopping.insert(entry);
    }

    pub(super) fn is_stopping(&self, entry: Incarnation) -> bool {
        self.stopping.contains(&entry)
    }

    pub(super) fn taken_over_entries(&self) -> Vec<Incarnation> {
        self.taken_over_keys.keys().copied().collect()
    }

    pub(super) fn drop_requester(&mut self, requester: Requester) {
        self.sent.retain(|_, sent| sent.requester != requester);
        self.parked.retain(|parked| parked.requester != requester);
    }

    /// Returns whether no relayed request, parked request or fence is pending.
    pub(super) fn is_idle(&self) -> bool {
        self.sent.is_empty() && self.parked.is_empty() && self.fences.is_idle()
    }
}

impl Entry {
    /// Handles the request of a local caller about another entry's job.
    pub(super) fn handle_foreign_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let owner = request.token().incarnation;
        if let Some(response) = self.taken_over_response(&request) {
            self.respond(requester, response, actions);
            return;
        }
        let answering = self.answering_entry(owner);
        if let Some(outcome) = self.fenced_outcome(request.job_id(), answering.is_some()) {
            self.respond(requester, outcome.into(), actions);
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

    /// Handles a request that another entry relayed.
    pub(super) fn handle_relayed_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if request.token().incarnation == self.incarnation {
            self.handle_own_request(requester, request, now, actions);
            return;
        }
        let response = self
            .taken_over_response(&request)
            .unwrap_or(CallerResponse::failed(Failure::OwnerLost));
        self.respond(requester, response, actions);
    }

    /// Returns the response from the keys of the owner, if this entry has taken them over.
    fn taken_over_response(&self, request: &CallerRequest) -> Option<CallerResponse> {
        let token = request.token();
        let keys = self.relays.taken_over_keys.get(&token.incarnation)?;
        Some(match keys.lookup(token.generation, request.job_id()) {
            KeyLookup::Expired => CallerResponse::failed(Failure::KeyExpired),
            KeyLookup::Live { .. } => CallerResponse::failed(Failure::OwnerLost),
            KeyLookup::Ended {
                content_hash,
                outcome,
            } => match request {
                CallerRequest::Submit { spec, .. } if spec.content_hash() != content_hash => {
                    CallerResponse::failed(Failure::KeyReused)
                }
                _ => outcome.clone().into(),
            },
            // The stopped entry handed over all its keys, so it never accepted this one.
            KeyLookup::New => match request {
                CallerRequest::Submit { .. } => {
                    CallerResponse::not_run(Refusal::TokenNeeded, Some(Duration::ZERO))
                }
                _ => CallerResponse::Unknown,
            },
        })
    }

    /// Returns the owner or its successor, whichever is connected.
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

    pub(super) fn handle_relay_response(
        &mut self,
        response: RelayResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        match self.relays.sent.remove(&response.request) {
            Some(sent) => self.respond(sent.requester, response.body, actions),
            None => actions.push(EntryAction::Count(EntryCounter::ReportDropped)),
        }
    }

    /// Retries the parked requests whose owner or successor has connected.
    pub(super) fn retry_parked(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        for parked in std::mem::take(&mut self.relays.parked) {
            let owner = parked.request.token().incarnation;
            let is_answerable = self.answering_entry(owner).is_some()
                || self.relays.taken_over_keys.contains_key(&owner);
            if is_answerable {
                self.handle_foreign_request(parked.requester, parked.request, now, actions);
            } else {
                self.relays.parked.push(parked);
            }
        }
    }

    /// Reroutes the requests that were relayed to an entry whose session closed.
    pub(super) fn entry_disconnected(
        &mut self,
        entry: Incarnation,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        self.restart_hand_over(entry);
        let (lost, remaining) = std::mem::take(&mut self.relays.sent)
            .into_iter()
            .partition(|(_, sent)| sent.entry == entry);
        self.relays.sent = remaining;
        let lost: BTreeMap<RequestId, SentRequest> = lost;
        for sent in lost.into_values() {
            self.handle_foreign_request(sent.requester, sent.request, now, actions);
        }
    }

    /// Retries parked requests, and ends the waits for owners and sidecars that do not respond.
    pub(super) fn advance_relays(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.retry_parked(now, actions);
        self.resolve_parked(now, actions);
        self.end_expired_fences(now, actions);
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

    /// Resolves a request whose owner is unreachable: a submission by a fence, others as unknown.
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
