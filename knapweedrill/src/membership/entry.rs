//! Membership view of an entry.

use std::net::SocketAddr;
use std::time::Instant;

use super::entry_directory::EntryDirectory;
use super::process_table::{PreviousValue, ProcessTable};
use super::round_robin::RoundRobin;
use super::{
    ConfigurationSource, EntryHeartbeatData, MembershipChange, MembershipSettings, OutgoingDatagram,
};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::{
    Datagram, DatagramBody, EntryHeartbeat, PROTOCOL_VERSION, PeerAddress, SlotReport,
};
use crate::minion::Announcement;

/// The number of known entries that a heartbeat carries, chosen round-robin.
const KNOWN_COUNT_MAX: usize = 2;

/// Tracks the live minions and the other live entries for an entry.
#[derive(Debug)]
pub struct EntryMembership {
    own: PeerAddress,
    settings: MembershipSettings,
    entries: EntryDirectory,
    minions: ProcessTable<Announcement>,
    /// Newly found sidecars, which have not received a heartbeat of this entry yet.
    new_sidecars: Vec<SocketAddr>,
    has_announced_stop: bool,
    stale_count: u64,
    next_heartbeat_at: Option<Instant>,
    sequence: u64,
    entry_rotation: RoundRobin,
    sidecar_rotation: RoundRobin,
    known_rotation: RoundRobin,
}

/// Interface for the embedding process.
impl EntryMembership {
    /// Creates the membership of an entry; `seeds` are addresses at which other entries may run.
    pub fn new(own: PeerAddress, seeds: Vec<SocketAddr>, settings: MembershipSettings) -> Self {
        let expected_interval = settings.heartbeat_period;
        Self {
            entries: EntryDirectory::new(own.incarnation, seeds, settings, expected_interval),
            own,
            settings,
            minions: ProcessTable::new(expected_interval),
            new_sidecars: Vec::new(),
            has_announced_stop: false,
            stale_count: 0,
            next_heartbeat_at: None,
            sequence: 0,
            entry_rotation: RoundRobin::default(),
            sidecar_rotation: RoundRobin::default(),
            known_rotation: RoundRobin::default(),
        }
    }

    /// Handles a datagram; a reordered or duplicated one changes nothing.
    pub fn handle(&mut self, datagram: &Datagram, now: Instant) -> Vec<MembershipChange> {
        match &datagram.body {
            DatagramBody::Entry(heartbeat) => {
                self.entries.handle_heartbeat(datagram, heartbeat, now)
            }
            DatagramBody::Announce {
                announcement,
                report,
            } => self.handle_announcement(datagram, announcement, *report, now),
        }
    }

    /// Adds a candidate entry, for example from its presence record.
    pub fn add_candidate(&mut self, entry: &PeerAddress, now: Instant) {
        self.entries.add_candidate(entry, now);
    }

    /// Removes silent processes and reports them; expected several times per heartbeat period.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let mut changes = self.entries.expire(now);
        let lost = self.minions.expire(&self.settings, now);
        changes.extend(
            lost.into_iter()
                .map(|sidecar| MembershipChange::MinionLost { sidecar }),
        );
        changes
    }

    /// Returns the next heartbeat if one is due; the first one of a stopping entry is due at once.
    pub fn next_heartbeat(
        &mut self,
        data: &EntryHeartbeatData,
        now: Instant,
    ) -> Option<OutgoingDatagram> {
        let mut recipients = std::mem::take(&mut self.new_sidecars);
        if data.is_stopping && !self.has_announced_stop {
            self.has_announced_stop = true;
            recipients.extend(self.all_addresses());
        }
        if self.next_heartbeat_at.is_none_or(|at| at <= now) {
            self.next_heartbeat_at = Some(now + self.settings.heartbeat_period);
            recipients.extend(self.recipients());
        }
        recipients.sort_unstable();
        recipients.dedup();
        recipients.retain(|address| *address != self.own.link_address);
        (!recipients.is_empty()).then(|| OutgoingDatagram {
            recipients,
            datagram: self.datagram(data),
        })
    }

    /// Returns a live process with a newer configuration than `own`.
    pub fn newer_configuration(
        &self,
        own: Option<ConfigurationVersion>,
    ) -> Option<ConfigurationSource> {
        let newest = [
            self.entries.newest_configuration(),
            self.minions.newest_configuration(),
        ];
        newest
            .into_iter()
            .flatten()
            .max_by_key(|source| source.version)
            .filter(|source| Some(source.version) > own)
    }

    /// Returns the configuration that each live process has in force.
    pub fn configurations(
        &self,
    ) -> impl Iterator<Item = (Incarnation, Option<ConfigurationVersion>)> {
        self.entries
            .configurations()
            .chain(self.minions.configurations())
    }

    /// Returns how many heartbeats were dropped as reordered or duplicated.
    pub fn stale_count(&self) -> u64 {
        self.stale_count + self.entries.stale_count()
    }

    /// Returns the live minions.
    pub fn minions(&self) -> impl Iterator<Item = &Announcement> {
        self.minions.live()
    }

    /// Returns the other live entries.
    pub fn entries(&self) -> impl Iterator<Item = &PeerAddress> {
        self.entries.live()
    }
}

/// Incoming heartbeats.
impl EntryMembership {
    fn handle_announcement(
        &mut self,
        datagram: &Datagram,
        announcement: &Announcement,
        report: SlotReport,
        now: Instant,
    ) -> Vec<MembershipChange> {
        let sidecar: Incarnation = announcement.sidecar;
        if datagram.sender != sidecar {
            return Vec::new();
        }
        if !self.minions.is_fresh(datagram) {
            self.stale_count += 1;
            return Vec::new();
        }
        let previous = self
            .minions
            .record_heartbeat(datagram, announcement.clone(), now);
        let mut changes = Vec::new();
        match previous {
            PreviousValue::Absent => {
                self.new_sidecars.push(announcement.link_address);
                changes.push(MembershipChange::MinionFound(announcement.clone()));
            }
            PreviousValue::Present(value) if value != *announcement => {
                changes.push(MembershipChange::MinionChanged(announcement.clone()));
            }
            PreviousValue::Present(_) => {}
        }
        changes.push(MembershipChange::MinionReported { sidecar, report });
        changes
    }
}

/// Outgoing heartbeats.
impl EntryMembership {
    fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .live()
            .map(|entry| entry.link_address)
            .collect()
    }

    fn sidecar_addresses(&self) -> Vec<SocketAddr> {
        let minions = self.minions.live();
        minions.map(|minion| minion.link_address).collect()
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.entry_addresses();
        addresses.extend(self.sidecar_addresses());
        addresses
    }

    fn recipients(&mut self) -> Vec<SocketAddr> {
        let entries = self.entry_addresses();
        let mut recipients = self
            .entry_rotation
            .take(&entries, self.settings.target_count_max);
        let sidecars = self.sidecar_addresses();
        let sidecar_count = self.sidecars_per_heartbeat();
        recipients.extend(self.sidecar_rotation.take(&sidecars, sidecar_count));
        recipients.extend(self.entries.probe_addresses(self.sequence));
        recipients
    }

    /// Returns how many sidecars get each heartbeat, so that each sidecar gets one per period.
    fn sidecars_per_heartbeat(&self) -> usize {
        let period_s = self.settings.sidecar_heartbeat_period.as_secs_f64();
        let fraction = self.settings.heartbeat_period.as_secs_f64() / period_s;
        (self.minions.live_count() as f64 * fraction).ceil() as usize
    }

    fn datagram(&mut self, data: &EntryHeartbeatData) -> Datagram {
        self.sequence += 1;
        let known: Vec<PeerAddress> = self.entries.live().cloned().collect();
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            sender: self.own.incarnation,
            sequence: self.sequence,
            clock: data.clock,
            configuration: data.configuration,
            body: DatagramBody::Entry(EntryHeartbeat {
                own: self.own.clone(),
                is_stopping: data.is_stopping,
                known: self.known_rotation.take(&known, KNOWN_COUNT_MAX),
                answers_for: data.answers_for.clone(),
            }),
        }
    }
}
