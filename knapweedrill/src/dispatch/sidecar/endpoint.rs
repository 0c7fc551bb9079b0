//! Connects a sidecar to its sessions with entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Sidecar, SidecarAction, StoredRecord};
use crate::dispatch::message::Message;
use crate::dispatch::session::{Envelope, SessionEvent, Sessions};
use crate::dispatch::{Notice, Packet, SidecarRecord};

/// The interval at which a sidecar announces itself to the seed addresses while the store has not
/// confirmed it. At most the time that minions take to register.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// A sidecar with its sessions: passes messages of entries to the sidecar, and messages of the
/// sidecar to the sessions.
#[derive(Debug)]
pub struct SidecarEndpoint {
    sidecar: Sidecar,
    sessions: Sessions,
    vm: String,
    address: SocketAddr,
    /// Addresses at which entries may listen.
    seeds: Vec<SocketAddr>,
    /// The last record of this sidecar that the store has confirmed.
    confirmed_record: Option<SidecarRecord>,
    announced_at: Option<Instant>,
}

/// Calls and datagrams that are ready to be sent.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// Calls to the minion.
    pub orders: Vec<SidecarAction>,
    /// Datagrams to entries.
    pub datagrams: Vec<(SocketAddr, Packet)>,
}

impl SidecarEndpoint {
    /// Creates an endpoint on the VM `vm` that entries reach at `address`.
    pub fn new(sidecar: Sidecar, sessions: Sessions, vm: String, address: SocketAddr) -> Self {
        Self {
            sidecar,
            sessions,
            vm,
            address,
            seeds: Vec::new(),
            confirmed_record: None,
            announced_at: None,
        }
    }

    /// Sets the addresses to which this sidecar announces itself while the store has not confirmed
    /// it.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the service discovery record of this sidecar, or `None` without a minion.
    pub fn sidecar_record(&self) -> Option<SidecarRecord> {
        let minion = self.sidecar.minion()?;
        Some(SidecarRecord {
            vm: self.vm.clone(),
            address: self.address,
            service: minion.service.clone(),
            capacity: minion.capacity,
            labels: minion.labels.clone(),
        })
    }

    /// Returns the record of this sidecar for the store, or `None` without a minion.
    pub fn stored_record(&self) -> Option<StoredRecord> {
        let minion = self.sidecar.minion()?;
        Some(StoredRecord {
            sidecar: self.sidecar_record()?,
            instance: minion.instance.clone(),
            failure_domain: minion.failure_domain.clone(),
            started_unix_ms: self.sidecar.minion_started_unix_ms(),
            is_draining: self.sidecar.is_minion_draining(),
        })
    }

    /// Records that the store has confirmed a record of this sidecar.
    pub fn sidecar_record_confirmed(&mut self, record: SidecarRecord) {
        self.confirmed_record = Some(record);
    }

    /// Returns the state of the sidecar.
    pub fn sidecar(&self) -> &Sidecar {
        &self.sidecar
    }

    /// Returns the sidecar for events of its minion.
    pub fn sidecar_mut(&mut self) -> &mut Sidecar {
        &mut self.sidecar
    }

    /// Handles a datagram; packets other than those of a session are ignored.
    pub fn receive(&mut self, from: SocketAddr, packet: Packet, now: Instant) {
        let Packet::Session(envelope) = packet else {
            return;
        };
        self.receive_envelope(from, envelope, now);
    }

    fn receive_envelope(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        let process = envelope.from;
        for event in self.sessions.receive(from, envelope, now) {
            self.handle_event(event, now);
        }
        if let Some(at) = self.sessions.echoed_at(process, now) {
            self.sidecar.entry_alive(process, at);
        }
    }

    /// Returns when [`poll`](Self::poll) is due for a session even if nothing arrives.
    pub fn next_session_due(&self) -> Option<Instant> {
        self.sessions.next_due()
    }

    /// Runs the due actions and returns what is to be sent.
    pub fn poll(&mut self, now: Instant) -> Outgoing {
        let mut outgoing = Outgoing::default();
        for action in self.sidecar.take_actions() {
            match action {
                SidecarAction::Send(entry, message) => {
                    // Fails only for entries whose session has ended.
                    let _ = self.sessions.send(entry, message, now);
                }
                order => outgoing.orders.push(order),
            }
        }
        let status = self.sidecar.status();
        for entry in self.sidecar.entries() {
            let is_busy = self.sidecar.has_runs_of(entry);
            self.sessions.set_busy(entry, is_busy, now);
            self.sessions.set_status(entry, status);
        }
        let (envelopes, events) = self.sessions.poll(now);
        let packets = envelopes.into_iter();
        outgoing.datagrams = packets
            .map(|(to, envelope)| (to, Packet::Session(envelope)))
            .collect();
        for event in events {
            self.handle_event(event, now);
        }
        self.announce_to_seeds(&mut outgoing, now);
        outgoing
    }

    /// Returns whether the store has confirmed the current minion; the VM and the address never
    /// change.
    fn is_confirmed(&self) -> bool {
        let minion = self.sidecar.minion();
        let record = self.confirmed_record.as_ref();
        record
            .zip(minion)
            .is_some_and(|(record, minion)| record.matches_minion(minion))
    }

    /// Announces this sidecar to the seed addresses while the store has not confirmed it.
    fn announce_to_seeds(&mut self, outgoing: &mut Outgoing, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < ANNOUNCE_INTERVAL;
        if self.announced_at.is_some_and(is_recent) {
            return;
        }
        if self.is_confirmed() {
            return;
        }
        let Some(record) = self.sidecar_record() else {
            return;
        };
        self.announced_at = Some(now);
        for seed in &self.seeds {
            let notice = Notice::SidecarAnnouncement(record.clone());
            outgoing.datagrams.push((*seed, Packet::Notice(notice)));
        }
    }

    fn handle_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Connected(process, _) => {
                log::info!(entry:% = process; "session with entry established");
                self.sidecar.entry_connected(process, now);
            }
            SessionEvent::Disconnected(process) => {
                log::warn!(process:% = process; "session ended or process replaced");
                self.sidecar.entry_disconnected(process, now);
            }
            SessionEvent::Silent(process) => {
                log::warn!(process:% = process; "process unreachable")
            }
            SessionEvent::Resumed(process) => {
                log::info!(process:% = process; "process reachable again")
            }
            SessionEvent::Message(process, Message::Start(order)) => {
                let identity = self.sessions.identity();
                let stamped_at = identity.instant_from_stamp(order.sidecar_stamp_ms, now);
                self.sidecar.start(process, order, stamped_at, now);
            }
            SessionEvent::Message(process, Message::Stop { task, attempt }) => {
                self.sidecar.stop(process, task, attempt, now);
            }
            SessionEvent::Message(process, Message::Withdrawn { task, attempt }) => {
                self.sidecar.refuse_withdrawn(process, task, attempt);
            }
            SessionEvent::Message(
                process,
                Message::Evacuation {
                    revision,
                    is_evacuated,
                },
            ) => {
                self.sidecar.set_evacuated(process, revision, is_evacuated);
            }
            SessionEvent::Message(process, message) => {
                log::warn!(process:% = process, message:? = message; "unexpected message ignored");
            }
            SessionEvent::Status(..) => {}
        }
    }
}
