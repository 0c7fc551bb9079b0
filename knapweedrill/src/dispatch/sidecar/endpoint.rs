//! A sidecar with its sessions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Sidecar, SidecarAction};
use crate::dispatch::message::Message;
use crate::dispatch::session::{Envelope, SessionEvent, Sessions};
use crate::dispatch::{Notice, Packet, Place};

/// The pause before a sidecar tells entries again where it is, while the store has not confirmed it: no
/// more than minions take to register.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// A sidecar with its sessions: what arrives from entries goes to the sidecar, and what it has to
/// say goes out.
#[derive(Debug)]
pub struct SidecarEndpoint {
    sidecar: Sidecar,
    sessions: Sessions,
    vm: String,
    address: SocketAddr,
    /// Where entries may be.
    seeds: Vec<SocketAddr>,
    /// What the store has confirmed of this sidecar.
    confirmed: Option<Place>,
    told_at: Option<Instant>,
}

/// What a sidecar has to send.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// Orders to the minion.
    pub orders: Vec<SidecarAction>,
    /// Datagrams to entries.
    pub datagrams: Vec<(SocketAddr, Packet)>,
}

impl SidecarEndpoint {
    /// Creates a sidecar with sessions, which is on a VM and is reached at an address.
    pub fn new(sidecar: Sidecar, sessions: Sessions, vm: String, address: SocketAddr) -> Self {
        Self {
            sidecar,
            sessions,
            vm,
            address,
            seeds: Vec::new(),
            confirmed: None,
            told_at: None,
        }
    }

    /// Sets where entries may be that are told of this sidecar while the store does not answer.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns where this sidecar is and what its minion offers, or nothing without a minion.
    pub fn place(&self) -> Option<Place> {
        let minion = self.sidecar.minion()?;
        Some(Place {
            vm: self.vm.clone(),
            address: self.address,
            service: minion.service.clone(),
            capacity: minion.capacity,
            labels: minion.labels.clone(),
        })
    }

    /// Takes in that the store has confirmed where this sidecar is.
    pub fn confirmed(&mut self, place: Place) {
        self.confirmed = Some(place);
    }

    /// Returns the sidecar.
    pub fn sidecar(&self) -> &Sidecar {
        &self.sidecar
    }

    /// Returns the sidecar, to tell it of its minion.
    pub fn sidecar_mut(&mut self) -> &mut Sidecar {
        &mut self.sidecar
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, from: SocketAddr, packet: Packet, now: Instant) {
        let Packet::Session(envelope) = packet else {
            return;
        };
        self.receive_envelope(from, envelope, now);
    }

    fn receive_envelope(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        let process = envelope.from;
        for event in self.sessions.receive(from, envelope, now) {
            self.take_event(event, now);
        }
        if let Some(at) = self.sessions.echoed_at(process, now) {
            self.sidecar.entry_alive(process, at);
        }
    }

    /// Returns when a session has something due even if nothing arrives.
    pub fn sessions_due(&self) -> Option<Instant> {
        self.sessions.next_due()
    }

    /// Does what is due and returns what is to be sent.
    pub fn poll(&mut self, now: Instant) -> Outgoing {
        let mut outgoing = Outgoing::default();
        for action in self.sidecar.take_actions() {
            match action {
                SidecarAction::Send(entry, message) => {
                    // An entry that is gone has no use for it.
                    let _ = self.sessions.send(entry, message);
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
            self.take_event(event, now);
        }
        self.tell_seeds(&mut outgoing, now);
        outgoing
    }

    /// Returns whether the store has confirmed the minion as it is now; the VM and the address never change.
    fn is_confirmed(&self) -> bool {
        let minion = self.sidecar.minion();
        let place = self.confirmed.as_ref();
        place
            .zip(minion)
            .is_some_and(|(place, minion)| place.is_of(minion))
    }

    /// Tells the entries where this sidecar is, as long as the store has not confirmed it.
    fn tell_seeds(&mut self, outgoing: &mut Outgoing, now: Instant) {
        let is_early = |at| now.saturating_duration_since(at) < TELL_EVERY;
        if self.told_at.is_some_and(is_early) {
            return;
        }
        if self.is_confirmed() {
            return;
        }
        let Some(place) = self.place() else {
            return;
        };
        self.told_at = Some(now);
        for seed in &self.seeds {
            let notice = Notice::Here(place.clone());
            outgoing.datagrams.push((*seed, Packet::Notice(notice)));
        }
    }

    fn take_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Up(process, _) => {
                log::info!(entry:% = process; "entry reached");
                self.sidecar.entry_up(process, now);
            }
            SessionEvent::Gone(process) => {
                log::warn!(process:% = process; "session over, or process replaced by another");
                self.sidecar.entry_gone(process);
            }
            SessionEvent::Silent(process) => {
                log::warn!(process:% = process; "process out of reach")
            }
            SessionEvent::Heard(process) => log::info!(process:% = process; "process heard again"),
            SessionEvent::Message(process, Message::Start(order)) => {
                let identity = self.sessions.identity();
                let stamped_at = identity.moment(order.sidecar_stamp_ms, now);
                self.sidecar.start(process, order, stamped_at, now);
            }
            SessionEvent::Message(process, Message::Stop { task, attempt }) => {
                self.sidecar.stop(process, task, attempt);
            }
            SessionEvent::Message(process, message) => {
                log::warn!(process:% = process, message:? = message; "not a message for a sidecar");
            }
            SessionEvent::Status(..) => {}
        }
    }
}
