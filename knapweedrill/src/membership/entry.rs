//! Membership as an entry sees it.

use std::net::SocketAddr;
use std::time::Instant;

use super::directory::Directory;
use super::presence::{Before, Presence};
use super::rotation::Rotation;
use super::{ConfigurationSource, EntryNews, MembershipChange, MembershipSettings, Outgoing};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::{
    Datagram, DatagramBody, EntryHeartbeat, PROTOCOL_VERSION, PeerAddress, SlotReport,
};
use crate::minion::Announcement;

/// How many known entries a heartbeat names; they take turns.
const KNOWN_MAX_COUNT: usize = 2;

/// Minions and other entries, as an entry sees them.
#[derive(Debug)]
pub struct EntryMembership {
    own: PeerAddress,
    settings: MembershipSettings,
    entries: Directory,
    minions: Presence<Announcement>,
    /// Sidecars that were just found and have not heard this entry.
    greeted: Vec<SocketAddr>,
    has_told_stop: bool,
    stale_count: u64,
    next_beat_at: Option<Instant>,
    sequence: u64,
    entry_turn: Rotation,
    sidecar_turn: Rotation,
    known_turn: Rotation,
}

/// What the process calls.
impl EntryMembership {
    /// Creates the membership of an entry; `seeds` are addresses at which entries may be.
    pub fn new(own: PeerAddress, seeds: Vec<SocketAddr>, settings: MembershipSettings) -> Self {
        let expected = settings.heartbeat_period;
        Self {
            entries: Directory::new(own.incarnation, seeds, settings, expected),
            own,
            settings,
            minions: Presence::new(expected),
            greeted: Vec::new(),
            has_told_stop: false,
            stale_count: 0,
            next_beat_at: None,
            sequence: 0,
            entry_turn: Rotation::default(),
            sidecar_turn: Rotation::default(),
            known_turn: Rotation::default(),
        }
    }

    /// Takes a datagram; one that is late or doubled changes nothing.
    pub fn handle(&mut self, datagram: &Datagram, now: Instant) -> Vec<MembershipChange> {
        match &datagram.body {
            DatagramBody::Entry(beat) => self.entries.hear(datagram, beat, now),
            DatagramBody::Announce {
                announcement,
                report,
            } => self.hear_minion(datagram, announcement, *report, now),
        }
    }

    /// Takes word of an entry, such as from its presence record.
    pub fn learn(&mut self, entry: &PeerAddress, now: Instant) {
        self.entries.learn(entry, now);
    }

    /// Returns what was silent for too long; wanted several times per heartbeat period.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let mut changes = self.entries.expire(now);
        let lost = self.minions.expire(&self.settings, now);
        changes.extend(
            lost.into_iter()
                .map(|sidecar| MembershipChange::MinionLost { sidecar }),
        );
        changes
    }

    /// Returns the heartbeat that is due, if one is; the first to say that the entry stops is.
    pub fn beat(&mut self, news: &EntryNews, now: Instant) -> Option<Outgoing> {
        let mut to = std::mem::take(&mut self.greeted);
        if news.is_stopping && !self.has_told_stop {
            self.has_told_stop = true;
            to.extend(self.everyone());
        }
        if self.next_beat_at.is_none_or(|at| at <= now) {
            self.next_beat_at = Some(now + self.settings.heartbeat_period);
            to.extend(self.targets());
        }
        to.sort_unstable();
        to.dedup();
        to.retain(|address| *address != self.own.link_address);
        (!to.is_empty()).then(|| Outgoing {
            to,
            datagram: self.datagram(news),
        })
    }

    /// Returns a live process with a newer configuration than `own`.
    pub fn ahead(&self, own: Option<ConfigurationVersion>) -> Option<ConfigurationSource> {
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

    /// Returns how many heartbeats were late or doubled.
    pub fn stale_count(&self) -> u64 {
        self.stale_count + self.entries.stale_count()
    }

    /// Returns the minions that are live.
    pub fn minions(&self) -> impl Iterator<Item = &Announcement> {
        self.minions.live()
    }

    /// Returns the other entries that are live.
    pub fn entries(&self) -> impl Iterator<Item = &PeerAddress> {
        self.entries.live()
    }
}

/// Hearing.
impl EntryMembership {
    fn hear_minion(
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
        let before = self.minions.hear(datagram, announcement.clone(), now);
        let mut changes = Vec::new();
        match before {
            Before::Nothing => {
                self.greeted.push(announcement.link_address);
                changes.push(MembershipChange::MinionFound(announcement.clone()));
            }
            Before::Said(said) if said != *announcement => {
                changes.push(MembershipChange::MinionChanged(announcement.clone()));
            }
            Before::Said(_) => {}
        }
        changes.push(MembershipChange::MinionReported { sidecar, report });
        changes
    }
}

/// Sending.
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

    fn everyone(&self) -> Vec<SocketAddr> {
        let mut addresses = self.entry_addresses();
        addresses.extend(self.sidecar_addresses());
        addresses
    }

    fn targets(&mut self) -> Vec<SocketAddr> {
        let entries = self.entry_addresses();
        let mut to = self
            .entry_turn
            .take(&entries, self.settings.targets_max_count);
        let sidecars = self.sidecar_addresses();
        let sidecar_count = self.sidecars_per_beat();
        to.extend(self.sidecar_turn.take(&sidecars, sidecar_count));
        to.extend(self.entries.unheard_addresses(self.sequence));
        to
    }

    /// Returns how many sidecars get each heartbeat, so that each gets one in its period.
    fn sidecars_per_beat(&self) -> usize {
        let period_s = self.settings.sidecar_beat_period.as_secs_f64();
        let share = self.settings.heartbeat_period.as_secs_f64() / period_s;
        (self.minions.live_count() as f64 * share).ceil() as usize
    }

    fn datagram(&mut self, news: &EntryNews) -> Datagram {
        self.sequence += 1;
        let known: Vec<PeerAddress> = self.entries.live().cloned().collect();
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            sender: self.own.incarnation,
            sequence: self.sequence,
            clock: news.clock,
            configuration: news.configuration,
            body: DatagramBody::Entry(EntryHeartbeat {
                own: self.own.clone(),
                is_stopping: news.is_stopping,
                known: self.known_turn.take(&known, KNOWN_MAX_COUNT),
                answers_for: news.answers_for.clone(),
            }),
        }
    }
}
