//! The processes that an entry hears of.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::entry::EntryEvent;
use knapweedrill::event::EventKind;
use knapweedrill::link::WantedPeer;
use knapweedrill::membership::MembershipChange;

use super::EntryControl;

/// How long a process that is lost goes on being dialled.
const LOST_PEER_MEMORY: Duration = Duration::from_secs(30);

impl EntryControl {
    pub(super) fn take_changes(&mut self, changes: Vec<MembershipChange>, now: Instant) {
        for change in changes {
            self.take_change(change, now);
        }
    }

    fn take_change(&mut self, change: MembershipChange, now: Instant) {
        match change {
            MembershipChange::MinionFound(announcement) => {
                self.note_found(announcement.sidecar, &announcement.name);
                let wanted = WantedPeer::from(&announcement);
                self.tell(EntryEvent::Minion { announcement }, now);
                self.want(wanted, now);
            }
            MembershipChange::MinionChanged(announcement) => {
                log::info!(minion = announcement.name.as_str(); "minion is {:?}", announcement.state);
                self.timeline.record(EventKind::MinionChanged {
                    sidecar: announcement.sidecar,
                    state: announcement.state,
                });
                self.tell(EntryEvent::Minion { announcement }, now);
            }
            MembershipChange::MinionReported { sidecar, report } => {
                self.tell(EntryEvent::SlotsReported { sidecar, report }, now);
            }
            MembershipChange::MinionLost { sidecar } => {
                self.note_lost(sidecar);
                self.lost.insert(sidecar, now);
                self.tell(EntryEvent::MinionLost { sidecar }, now);
            }
            MembershipChange::EntryFound(entry) => {
                self.note_found(entry.incarnation, &entry.name);
                self.want(WantedPeer::from(&entry), now);
            }
            MembershipChange::EntryStopping { entry } => {
                self.tell(EntryEvent::EntryStopping { entry }, now);
            }
            MembershipChange::EntryLost { entry } => {
                self.note_lost(entry);
                self.lost.insert(entry, now);
            }
            MembershipChange::AnswersFor { successor, stopped } => {
                self.tell(EntryEvent::AnswersFor { successor, stopped }, now);
            }
        }
    }

    fn note_found(&self, peer: Incarnation, name: &str) {
        log::info!(peer = name; "found");
        self.timeline.record(EventKind::PeerFound {
            peer,
            peer_name: name.to_owned(),
        });
    }

    fn note_lost(&self, peer: Incarnation) {
        log::warn!("lost sight of {peer:016x}");
        self.timeline.record(EventKind::PeerLost { peer });
    }

    fn want(&mut self, peer: WantedPeer, now: Instant) {
        self.lost.remove(&peer.incarnation);
        let events = self.peers.want(peer, now);
        self.take_peer_events(events, now);
    }

    /// Stops dialling processes that have been lost for long and have no session.
    ///
    /// Lost heartbeats alone end no session, since tasks may be under way on it.
    pub(super) fn unwant_lost(&mut self, now: Instant) {
        let peers = &self.peers;
        let gone: Vec<Incarnation> = self
            .lost
            .extract_if(.., |peer, since| {
                now.duration_since(*since) > LOST_PEER_MEMORY && !peers.is_up(*peer)
            })
            .map(|(peer, _)| peer)
            .collect();
        for peer in gone {
            let events = self.peers.unwant(peer, now);
            self.take_peer_events(events, now);
        }
    }
}
