//! The sessions of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::envelope::{Envelope, MessageNumber};
use super::peer::{Peer, SessionEvents};
use super::{SessionEvent, SessionSettings};
use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, StampMs, Status};

/// Who a process is.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// What it is.
    pub role: Role,
    /// When it started; stamps count from here.
    pub started_at: Instant,
}

impl Identity {
    /// Returns the stamp of a moment.
    pub fn stamp_ms(&self, at: Instant) -> StampMs {
        // Stamps count from 1, so that 0 stands for none.
        let since = at.saturating_duration_since(self.started_at).as_millis();
        StampMs::try_from(since).map_or(StampMs::MAX, |ms| ms + 1)
    }

    /// Returns the moment of a stamp.
    pub fn moment(&self, stamp_ms: StampMs) -> Instant {
        self.started_at + Duration::from_millis(stamp_ms.saturating_sub(1))
    }
}

/// All sessions of a process, by the address of the other side.
#[derive(Debug)]
pub struct Sessions {
    own: Identity,
    settings: SessionSettings,
    peers: HashMap<SocketAddr, Peer>,
    addresses: HashMap<Incarnation, SocketAddr>,
}

impl Sessions {
    /// Creates a table without sessions.
    pub fn new(own: Identity, settings: SessionSettings) -> Self {
        Self {
            own,
            settings,
            peers: HashMap::new(),
            addresses: HashMap::new(),
        }
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Begins to greet the process at an address, unless there is a session.
    ///
    /// Returns whether the address is new.
    pub fn greet(&mut self, address: SocketAddr) -> bool {
        let is_new = !self.peers.contains_key(&address);
        self.peers
            .entry(address)
            .or_insert_with(|| Peer::new(self.settings));
        is_new
    }

    /// Sends a message, and returns its number, or nothing if the process is not known any more.
    pub fn send(&mut self, to: Incarnation, message: Message) -> Option<MessageNumber> {
        self.peer_mut(to).map(|peer| peer.push(message))
    }

    /// Sets the state that a process is told.
    pub fn set_status(&mut self, to: Incarnation, status: Status) {
        if let Some(peer) = self.peer_mut(to) {
            peer.set_status(status);
        }
    }

    /// Says whether there is work between this process and another.
    pub fn set_busy(&mut self, with: Incarnation, is_busy: bool, now: Instant) {
        if let Some(peer) = self.peer_mut(with) {
            peer.set_busy(is_busy, now);
        }
    }

    /// Returns the newest of our stamps that a process has named: it was alive after that moment.
    pub fn echoed_at(&self, from: Incarnation) -> Option<Instant> {
        let peer = self.peer(from)?;
        (peer.echo_ms() > 0).then(|| self.own.moment(peer.echo_ms()))
    }

    /// Returns the newest stamp of a process, and when it arrived.
    pub fn newest_stamp(&self, from: Incarnation) -> Option<(StampMs, Instant)> {
        self.peer(from)?.remote_stamp()
    }

    /// Takes in a datagram.
    pub fn receive(
        &mut self,
        address: SocketAddr,
        envelope: Envelope,
        now: Instant,
    ) -> SessionEvents {
        let from = envelope.from;
        if from == self.own.incarnation {
            return SessionEvents::new();
        }
        let peer = self
            .peers
            .entry(address)
            .or_insert_with(|| Peer::new(self.settings));
        let before = peer.remote();
        let events = peer.receive(envelope, &self.own, now);
        if peer.remote() != before {
            if let Some(old) = before {
                self.addresses.remove(&old);
            }
            self.addresses.insert(from, address);
        }
        events
    }

    /// Returns the datagrams that are due, and who has fallen silent.
    pub fn poll(&mut self, now: Instant) -> (Vec<(SocketAddr, Envelope)>, Vec<SessionEvent>) {
        let mut datagrams = Vec::new();
        let mut events = Vec::new();
        for (address, peer) in &mut self.peers {
            events.extend(peer.check_silence(now));
            for envelope in peer.poll(&self.own, now) {
                datagrams.push((*address, envelope));
            }
        }
        (datagrams, events)
    }

    fn peer(&self, of: Incarnation) -> Option<&Peer> {
        self.peers.get(self.addresses.get(&of)?)
    }

    fn peer_mut(&mut self, of: Incarnation) -> Option<&mut Peer> {
        self.peers.get_mut(self.addresses.get(&of)?)
    }
}
