//! Membership changes at an entry, and the sessions that follow from them.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::entry::EntryEvent;
use knapweedrill::event::EventKind;
use knapweedrill::link::PeerEndpoint;
use knapweedrill::membership::MembershipChange;

use super::EntryControl;

/// How long an entry keeps dialling a lost process.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(30);

impl EntryControl {
    pub(super) fn handle_membership_changes(
        &mut self,
        changes: Vec<MembershipChange>,
        now: Instant,
    ) {
        for change in changes {
            self.handle_membership_change(change, now);
        }
    }

    fn handle_membership_change(&mut self, change: MembershipChange, now: Instant) {
        match change {
            MembershipChange::MinionFound(announcement) => {
                self.record_discovery(announcement.sidecar, &announcement.name);
                let wanted = PeerEndpoint::from(&announcement);
                self.handle_entry_event(EntryEvent::MinionAnnounced { announcement }, now);
                self.connect(wanted, now);
            }
            MembershipChange::MinionChanged(announcement) => {
                log::info!(
                    minion = announcement.name.as_str();
                    "minion state changed to {:?}", announcement.state
                );
                self.timeline.record(EventKind::MinionChanged {
                    sidecar: announcement.sidecar,
                    state: announcement.state,
                });
                self.handle_entry_event(EntryEvent::MinionAnnounced { announcement }, now);
            }
            MembershipChange::MinionReported { sidecar, report } => {
                self.handle_entry_event(EntryEvent::SlotsReported { sidecar, report }, now);
            }
            MembershipChange::MinionLost { sidecar } => {
                self.record_loss(sidecar);
                self.lost.insert(sidecar, now);
                self.handle_entry_event(EntryEvent::MinionLost { sidecar }, now);
            }
            MembershipChange::EntryFound(entry) => {
                self.record_discovery(entry.incarnation, &entry.name);
                self.connect(PeerEndpoint::from(&entry), now);
            }
            MembershipChange::EntryStopping { entry } => {
                self.handle_entry_event(EntryEvent::EntryStopping { entry }, now);
            }
            MembershipChange::EntryLost { entry } => {
                self.record_loss(entry);
                self.lost.insert(entry, now);
            }
            MembershipChange::AnswersFor { successor, stopped } => {
                self.handle_entry_event(EntryEvent::SuccessorAnnounced { successor, stopped }, now);
            }
        }
    }

    fn record_discovery(&self, peer: Incarnation, name: &str) {
        log::info!(peer = name; "peer discovered");
        self.timeline.record(EventKind::PeerFound {
            peer,
            peer_name: name.to_owned(),
        });
    }

    fn record_loss(&self, peer: Incarnation) {
        log::warn!("peer {peer:016x} lost");
        self.timeline.record(EventKind::PeerLost { peer });
    }

    fn connect(&mut self, peer: PeerEndpoint, now: Instant) {
        self.lost.remove(&peer.incarnation);
        let events = self.peers.want(peer, now);
        self.handle_peer_events(events, now);
    }

    /// Stops dialling processes that were lost more than `LOST_PEER_RETENTION` ago and have no
    /// session.
    ///
    /// Missing heartbeats alone do not end a session, since it may carry tasks in flight.
    pub(super) fn drop_lost_peers(&mut self, now: Instant) {
        let peers = &self.peers;
        let expired: Vec<Incarnation> = self
            .lost
            .extract_if(.., |peer, since| {
                now.duration_since(*since) > LOST_PEER_RETENTION && !peers.is_connected(*peer)
            })
            .map(|(peer, _)| peer)
            .collect();
        for peer in expired {
            let events = self.peers.unwant(peer, now);
            self.handle_peer_events(events, now);
        }
    }
}
