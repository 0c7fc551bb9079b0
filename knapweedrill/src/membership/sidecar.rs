//! Membership as a sidecar sees it.

use std::net::SocketAddr;
use std::time::Instant;

use super::directory::Directory;
use super::{
    ConfigurationSource, MembershipChange, MembershipSettings, Outgoing, SidecarNews, choose,
};
use crate::contract::ConfigurationVersion;
use crate::message::{Datagram, DatagramBody, PROTOCOL_VERSION, PeerAddress};
use crate::minion::Announcement;

/// The entries that a sidecar announces its minion to.
#[derive(Debug)]
pub struct SidecarMembership {
    announcement: Announcement,
    settings: MembershipSettings,
    entries: Directory,
    next_beat_at: Option<Instant>,
    sequence: u64,
}

impl SidecarMembership {
    /// Creates the membership of a sidecar; `seeds` are addresses at which entries may be.
    pub fn new(
        announcement: Announcement,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
    ) -> Self {
        let expected = settings.sidecar_beat_period;
        Self {
            entries: Directory::new(announcement.sidecar, seeds, settings, expected),
            announcement,
            settings,
            next_beat_at: None,
            sequence: 0,
        }
    }

    /// Takes a datagram; one that is late or doubled changes nothing.
    pub fn handle(&mut self, datagram: &Datagram, now: Instant) -> Vec<MembershipChange> {
        match &datagram.body {
            DatagramBody::Entry(beat) => self.entries.hear(datagram, beat, now),
            DatagramBody::Announce { .. } => Vec::new(),
        }
    }

    /// Returns the entries that were silent for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        self.entries.expire(now)
    }

    /// Changes what is announced; a change is announced at once.
    pub fn announce(&mut self, announcement: Announcement) {
        if announcement != self.announcement {
            self.announcement = announcement;
            self.next_beat_at = None;
        }
    }

    /// Returns what is announced.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the heartbeat that is due, if one is.
    pub fn beat(&mut self, news: &SidecarNews, now: Instant) -> Option<Outgoing> {
        if self.next_beat_at.is_some_and(|at| at > now) {
            return None;
        }
        self.next_beat_at = Some(now + self.settings.heartbeat_period);
        let to = self.targets();
        let datagram = self.datagram(news);
        (!to.is_empty()).then_some(Outgoing { to, datagram })
    }

    /// Returns a live entry with a newer configuration than `own`.
    pub fn ahead(&self, own: Option<ConfigurationVersion>) -> Option<ConfigurationSource> {
        self.entries
            .newest_configuration()
            .filter(|source| Some(source.version) > own)
    }

    /// Returns how many heartbeats were late or doubled.
    pub fn stale_count(&self) -> u64 {
        self.entries.stale_count()
    }

    /// Returns the entries that are live.
    pub fn entries(&self) -> impl Iterator<Item = &PeerAddress> {
        self.entries.live()
    }

    /// Returns the addresses of the chosen entries, and of those that may be entries.
    fn targets(&self) -> Vec<SocketAddr> {
        let candidates = self.entries.live().map(|entry| entry.incarnation);
        let count = self.settings.targets_max_count;
        let chosen = choose(self.announcement.sidecar, candidates, count);
        let mut to = self.entries.unheard_addresses(self.sequence);
        to.extend(
            self.entries
                .live()
                .filter(|entry| chosen.contains(&entry.incarnation))
                .map(|entry| entry.link_address),
        );
        to
    }

    fn datagram(&mut self, news: &SidecarNews) -> Datagram {
        self.sequence += 1;
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            sender: self.announcement.sidecar,
            sequence: self.sequence,
            clock: news.clock,
            configuration: news.configuration,
            body: DatagramBody::Announce {
                announcement: self.announcement.clone(),
                report: news.report,
            },
        }
    }
}
