//! A sidecar with its sessions.

use std::net::SocketAddr;
use std::time::Instant;

use super::{Sidecar, SidecarAction};
use crate::dispatch::message::{Message, Role, Status};
use crate::dispatch::session::{Envelope, SessionEvent, Sessions};

/// A sidecar with its sessions: what arrives from entries goes to the sidecar, and what it has to
/// say goes out.
#[derive(Debug)]
pub struct SidecarEndpoint {
    sidecar: Sidecar,
    sessions: Sessions,
}

/// What a sidecar has to send.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// Orders to the minion.
    pub orders: Vec<SidecarAction>,
    /// Datagrams to entries.
    pub datagrams: Vec<(SocketAddr, Envelope)>,
}

impl SidecarEndpoint {
    /// Creates a sidecar with sessions.
    pub fn new(sidecar: Sidecar, sessions: Sessions) -> Self {
        Self { sidecar, sessions }
    }

    /// Returns the sidecar.
    pub fn sidecar(&self) -> &Sidecar {
        &self.sidecar
    }

    /// Returns the sidecar, to tell it of its minion.
    pub fn sidecar_mut(&mut self) -> &mut Sidecar {
        &mut self.sidecar
    }

    /// Begins to talk to the entry at an address.
    pub fn greet(&mut self, address: SocketAddr) {
        if self.sessions.greet(address) {
            log::info!(address:% = address; "entry found");
        }
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        let process = envelope.from;
        for event in self.sessions.receive(from, envelope, now) {
            self.take_event(event, now);
        }
        if let Some(at) = self.sessions.echoed_at(process) {
            self.sidecar.entry_alive(process, at);
        }
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
        let status = Status::Sidecar(self.sidecar.status());
        let entries: Vec<_> = self.sidecar.entries().collect();
        for entry in entries {
            let is_busy = self.sidecar.has_runs_of(entry);
            self.sessions.set_busy(entry, is_busy, now);
            self.sessions.set_status(entry, status);
        }
        let (datagrams, events) = self.sessions.poll(now);
        outgoing.datagrams = datagrams;
        for event in events {
            self.take_event(event, now);
        }
        outgoing
    }

    fn take_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Up(process, Role::Entry) => {
                log::info!(entry:% = process; "entry reached");
                self.sidecar.entry_up(process, now);
            }
            SessionEvent::Gone(process) => {
                log::warn!(process:% = process; "process replaced by another at its address");
                self.sidecar.entry_gone(process);
            }
            SessionEvent::Silent(process) => {
                log::warn!(process:% = process; "process out of reach")
            }
            SessionEvent::Heard(process) => log::info!(process:% = process; "process heard again"),
            SessionEvent::Message(process, Message::Start(order)) => {
                let stamped_at = self.sessions.identity().moment(order.sidecar_stamp_ms);
                self.sidecar.start(process, order, stamped_at, now);
            }
            SessionEvent::Message(process, Message::Stop { task, attempt }) => {
                self.sidecar.stop(process, task, attempt);
            }
            SessionEvent::Message(process, message) => {
                log::warn!(process:% = process, message:? = message; "not a message for a sidecar");
            }
            SessionEvent::Up(..) | SessionEvent::Status(..) => {}
        }
    }
}
