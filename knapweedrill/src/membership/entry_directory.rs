//! Directory of the entries that a process knows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::candidates::Candidates;
use super::process_table::{PreviousValue, ProcessTable};
use super::{ConfigurationSource, MembershipChange, MembershipSettings};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::{Datagram, EntryHeartbeat, PeerAddress, Role};

/// The interval of probes to lost entries, in heartbeats.
const LOST_PROBE_INTERVAL_HEARTBEATS: u64 = 10;

/// The entries that a process knows: live, lost, candidate and seed entries.
#[derive(Debug)]
pub(super) struct EntryDirectory {
    own: Incarnation,
    settings: MembershipSettings,
    processes: ProcessTable<EntryHeartbeat>,
    candidates: Candidates,
    seeds: Vec<SocketAddr>,
    stale_count: u64,
}

impl EntryDirectory {
    pub(super) fn new(
        own: Incarnation,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        expected_interval: Duration,
    ) -> Self {
        Self {
            own,
            settings,
            processes: ProcessTable::new(expected_interval),
            candidates: Candidates::default(),
            seeds,
            stale_count: 0,
        }
    }

    /// Adds a candidate, which becomes live when it sends a heartbeat.
    pub(super) fn add_candidate(&mut self, entry: &PeerAddress, now: Instant) {
        let is_other = entry.incarnation != self.own && entry.role == Role::Entry;
        if is_other && !self.processes.is_live(entry.incarnation) {
            let lifetime = self.settings.suspicion_timeout_max;
            self.candidates.add(entry, lifetime, now);
        }
    }

    /// Handles the heartbeat of an entry.
    pub(super) fn handle_heartbeat(
        &mut self,
        datagram: &Datagram,
        heartbeat: &EntryHeartbeat,
        now: Instant,
    ) -> Vec<MembershipChange> {
        if !self.is_valid_sender(datagram, heartbeat) {
            return Vec::new();
        }
        if !self.processes.is_fresh(datagram) {
            self.stale_count += 1;
            return Vec::new();
        }
        self.candidates.remove(datagram.sender);
        let previous = self
            .processes
            .record_heartbeat(datagram, heartbeat.clone(), now);
        for entry in &heartbeat.known {
            self.add_candidate(entry, now);
        }
        changes(previous, heartbeat)
    }

    fn is_valid_sender(&self, datagram: &Datagram, heartbeat: &EntryHeartbeat) -> bool {
        datagram.sender != self.own
            && datagram.sender == heartbeat.own.incarnation
            && heartbeat.own.role == Role::Entry
    }

    /// Removes the entries that have been silent for longer than their timeout and reports them.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<MembershipChange> {
        self.candidates.expire(now);
        let lost = self.processes.expire(&self.settings, now);
        lost.into_iter()
            .map(|entry| MembershipChange::EntryLost { entry })
            .collect()
    }

    /// Returns how many heartbeats were dropped as reordered or duplicated.
    pub(super) fn stale_count(&self) -> u64 {
        self.stale_count
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &PeerAddress> {
        self.processes.live().map(|heartbeat| &heartbeat.own)
    }

    /// Returns the addresses to probe for entries that are not live: seeds, candidates and, at
    /// intervals, a lost entry.
    ///
    /// The probes to lost entries reconnect the two sides of a network partition after it heals.
    pub(super) fn probe_addresses(&self, sequence: u64) -> Vec<SocketAddr> {
        let is_probe_due = sequence.is_multiple_of(LOST_PROBE_INTERVAL_HEARTBEATS);
        let probe_number = is_probe_due.then_some(sequence / LOST_PROBE_INTERVAL_HEARTBEATS);
        let lost = probe_number.and_then(|number| self.processes.lost_round_robin(number));
        let seeds = self.seeds.iter().copied();
        let mut addresses: Vec<SocketAddr> = seeds
            .chain(self.candidates.addresses())
            .chain(lost.map(|heartbeat| heartbeat.own.link_address))
            .filter(|address| self.live().all(|entry| entry.link_address != *address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    pub(super) fn configurations(
        &self,
    ) -> impl Iterator<Item = (Incarnation, Option<ConfigurationVersion>)> {
        self.processes.configurations()
    }

    pub(super) fn newest_configuration(&self) -> Option<ConfigurationSource> {
        self.processes.newest_configuration()
    }
}

fn changes(
    previous: PreviousValue<EntryHeartbeat>,
    heartbeat: &EntryHeartbeat,
) -> Vec<MembershipChange> {
    let entry = heartbeat.own.incarnation;
    let mut changes = Vec::new();
    let (was_stopping, answered_for) = match previous {
        PreviousValue::Absent => {
            changes.push(MembershipChange::EntryFound(heartbeat.own.clone()));
            (false, Vec::new())
        }
        PreviousValue::Present(value) => (value.is_stopping, value.answers_for),
    };
    if heartbeat.is_stopping && !was_stopping {
        changes.push(MembershipChange::EntryStopping { entry });
    }
    let newly_answered = heartbeat.answers_for.iter().copied();
    let newly_answered = newly_answered.filter(|stopped| !answered_for.contains(stopped));
    changes.extend(newly_answered.map(|stopped| MembershipChange::AnswersFor {
        successor: entry,
        stopped,
    }));
    changes
}
