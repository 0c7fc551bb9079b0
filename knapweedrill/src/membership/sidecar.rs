//! Membership view of a sidecar.

use std::net::SocketAddr;
use std::time::Instant;

use super::entry_directory::EntryDirectory;
use super::{
    ConfigurationSource, MembershipChange, MembershipSettings, OutgoingDatagram,
    SidecarHeartbeatData, choose_by_rendezvous,
};
use crate::contract::ConfigurationVersion;
use crate::message::{Datagram, DatagramBody, PROTOCOL_VERSION, PeerAddress};
use crate::minion::Announcement;

/// Tracks the live entries for a sidecar and announces its minion to them.
#[derive(Debug)]
pub struct SidecarMembership {
    announcement: Announcement,
    settings: MembershipSettings,
    entries: EntryDirectory,
    next_heartbeat_at: Option<Instant>,
    sequence: u64,
}

impl SidecarMembership {
    /// Creates the membership of a sidecar; `seeds` are addresses at which entries may run.
    pub fn new(
        announcement: Announcement,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
    ) -> Self {
        let expected_interval = settings.sidecar_heartbeat_period;
        Self {
            entries: EntryDirectory::new(announcement.sidecar, seeds, settings, expected_interval),
            announcement,
            settings,
            next_heartbeat_at: None,
            sequence: 0,
        }
    }

    /// Handles a datagram; a reordered or duplicated one changes nothing.
    pub fn handle(&mut self, datagram: &Datagram, now: Instant) -> Vec<MembershipChange> {
        match &datagram.body {
            DatagramBody::Entry(heartbeat) => {
                self.entries.handle_heartbeat(datagram, heartbeat, now)
            }
            DatagramBody::Announce { .. } => Vec::new(),
        }
    }

    /// Removes silent entries and reports them.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        self.entries.expire(now)
    }

    /// Sets the announcement; a changed announcement makes the next heartbeat due at once.
    pub fn announce(&mut self, announcement: Announcement) {
        if announcement != self.announcement {
            self.announcement = announcement;
            self.next_heartbeat_at = None;
        }
    }

    /// Returns the current announcement.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the next heartbeat if one is due.
    pub fn next_heartbeat(
        &mut self,
        data: &SidecarHeartbeatData,
        now: Instant,
    ) -> Option<OutgoingDatagram> {
        if self.next_heartbeat_at.is_some_and(|at| at > now) {
            return None;
        }
        self.next_heartbeat_at = Some(now + self.settings.heartbeat_period);
        let recipients = self.recipients();
        let datagram = self.datagram(data);
        (!recipients.is_empty()).then_some(OutgoingDatagram {
            recipients,
            datagram,
        })
    }

    /// Returns a live entry with a newer configuration than `own`.
    pub fn newer_configuration(
        &self,
        own: Option<ConfigurationVersion>,
    ) -> Option<ConfigurationSource> {
        self.entries
            .newest_configuration()
            .filter(|source| Some(source.version) > own)
    }

    /// Returns how many heartbeats were dropped as reordered or duplicated.
    pub fn stale_count(&self) -> u64 {
        self.entries.stale_count()
    }

    /// Returns the live entries.
    pub fn entries(&self) -> impl Iterator<Item = &PeerAddress> {
        self.entries.live()
    }

    /// Returns the addresses of the chosen live entries and the addresses to probe.
    fn recipients(&self) -> Vec<SocketAddr> {
        let candidates = self.entries.live().map(|entry| entry.incarnation);
        let count = self.settings.target_count_max;
        let chosen = choose_by_rendezvous(self.announcement.sidecar, candidates, count);
        let mut recipients = self.entries.probe_addresses(self.sequence);
        recipients.extend(
            self.entries
                .live()
                .filter(|entry| chosen.contains(&entry.incarnation))
                .map(|entry| entry.link_address),
        );
        recipients
    }

    fn datagram(&mut self, data: &SidecarHeartbeatData) -> Datagram {
        self.sequence += 1;
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            sender: self.announcement.sidecar,
            sequence: self.sequence,
            clock: data.clock,
            configuration: data.configuration,
            body: DatagramBody::Announce {
                announcement: self.announcement.clone(),
                report: data.report,
            },
        }
    }
}
