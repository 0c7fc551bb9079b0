//! The entries that a process knows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::candidates::Candidates;
use super::presence::{Before, Presence};
use super::{ConfigurationSource, MembershipChange, MembershipSettings};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::{Datagram, EntryHeartbeat, PeerAddress, Role};

/// How many heartbeats pass between two to a lost entry.
const LOST_PROBE_BEATS: u64 = 10;

/// The entries that a process knows: heard, told of, or given as seeds.
#[derive(Debug)]
pub(super) struct Directory {
    own: Incarnation,
    settings: MembershipSettings,
    heard: Presence<EntryHeartbeat>,
    candidates: Candidates,
    seeds: Vec<SocketAddr>,
    stale_count: u64,
}

impl Directory {
    pub(super) fn new(
        own: Incarnation,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        expected: Duration,
    ) -> Self {
        Self {
            own,
            settings,
            heard: Presence::new(expected),
            candidates: Candidates::default(),
            seeds,
            stale_count: 0,
        }
    }

    /// Takes word of an entry, which is heard only if it answers.
    pub(super) fn learn(&mut self, entry: &PeerAddress, now: Instant) {
        let is_other = entry.incarnation != self.own && entry.role == Role::Entry;
        if is_other && !self.heard.is_live(entry.incarnation) {
            let lifetime = self.settings.suspicion_ceiling;
            self.candidates.add(entry, lifetime, now);
        }
    }

    /// Takes the heartbeat of an entry.
    pub(super) fn hear(
        &mut self,
        datagram: &Datagram,
        beat: &EntryHeartbeat,
        now: Instant,
    ) -> Vec<MembershipChange> {
        if !self.is_genuine(datagram, beat) {
            return Vec::new();
        }
        if !self.heard.is_fresh(datagram) {
            self.stale_count += 1;
            return Vec::new();
        }
        self.candidates.remove(datagram.sender);
        let before = self.heard.hear(datagram, beat.clone(), now);
        for entry in &beat.known {
            self.learn(entry, now);
        }
        changes(before, beat)
    }

    fn is_genuine(&self, datagram: &Datagram, beat: &EntryHeartbeat) -> bool {
        datagram.sender != self.own
            && datagram.sender == beat.own.incarnation
            && beat.own.role == Role::Entry
    }

    /// Returns the entries that have been silent for too long.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<MembershipChange> {
        self.candidates.expire(now);
        let lost = self.heard.expire(&self.settings, now);
        lost.into_iter()
            .map(|entry| MembershipChange::EntryLost { entry })
            .collect()
    }

    /// Returns how many heartbeats were late or doubled.
    pub(super) fn stale_count(&self) -> u64 {
        self.stale_count
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &PeerAddress> {
        self.heard.live().map(|beat| &beat.own)
    }

    /// Returns where entries may be that are not live: seeds, candidates and,
    /// now and then, a lost entry.
    ///
    /// Two halves of a parted network find each other again by the heartbeats to lost entries.
    pub(super) fn unheard_addresses(&self, sequence: u64) -> Vec<SocketAddr> {
        let is_probed = sequence.is_multiple_of(LOST_PROBE_BEATS);
        let lost_turn = is_probed.then_some(sequence / LOST_PROBE_BEATS);
        let lost = lost_turn.and_then(|turn| self.heard.lost_in_turn(turn));
        let seeds = self.seeds.iter().copied();
        let mut addresses: Vec<SocketAddr> = seeds
            .chain(self.candidates.addresses())
            .chain(lost.map(|beat| beat.own.link_address))
            .filter(|address| self.live().all(|entry| entry.link_address != *address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    pub(super) fn configurations(
        &self,
    ) -> impl Iterator<Item = (Incarnation, Option<ConfigurationVersion>)> {
        self.heard.configurations()
    }

    pub(super) fn newest_configuration(&self) -> Option<ConfigurationSource> {
        self.heard.newest_configuration()
    }
}

fn changes(before: Before<EntryHeartbeat>, beat: &EntryHeartbeat) -> Vec<MembershipChange> {
    let entry = beat.own.incarnation;
    let mut changes = Vec::new();
    let (was_stopping, answered_for) = match before {
        Before::Nothing => {
            changes.push(MembershipChange::EntryFound(beat.own.clone()));
            (false, Vec::new())
        }
        Before::Said(said) => (said.is_stopping, said.answers_for),
    };
    if beat.is_stopping && !was_stopping {
        changes.push(MembershipChange::EntryStopping { entry });
    }
    let news = beat.answers_for.iter().copied();
    let news = news.filter(|stopped| !answered_for.contains(stopped));
    changes.extend(news.map(|stopped| MembershipChange::AnswersFor {
        successor: entry,
        stopped,
    }));
    changes
}
