//! The sessions of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::envelope::{Envelope, MessageNumber, SessionNumber};
use super::peer::{Peer, SessionEvents};
use super::schedule::Schedule;
use super::{SessionEvent, SessionSettings};
use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};

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

    /// Returns the moment of a stamp; that of the start for one that this process can't have sent yet, so that it
    /// proves nothing.
    pub fn moment(&self, stamp_ms: StampMs, now: Instant) -> Instant {
        let since = Duration::from_millis(stamp_ms.saturating_sub(1));
        let moment = self.started_at.checked_add(since);
        moment.filter(|at| *at <= now).unwrap_or(self.started_at)
    }
}

/// The shortest pause between two looks at a session to which nothing happens.
const LOOK_PAUSE_MIN: Duration = Duration::from_millis(1);

/// All sessions of a process, by the address of the other side.
///
/// Entries open sessions and close them; sidecars take them. Each event touches one session: those
/// that were touched, and those with something due, are looked at by [`Sessions::poll`].
#[derive(Debug)]
pub struct Sessions {
    own: Identity,
    settings: SessionSettings,
    peers: HashMap<SocketAddr, Peer>,
    addresses: HashMap<Incarnation, SocketAddr>,
    last_session: SessionNumber,
    touched: Vec<SocketAddr>,
    schedule: Schedule,
    /// Datagrams that close sessions.
    farewells: Vec<(SocketAddr, Envelope)>,
}

impl Sessions {
    /// Creates a table without sessions.
    pub fn new(own: Identity, settings: SessionSettings) -> Self {
        Self {
            own,
            settings,
            peers: HashMap::new(),
            addresses: HashMap::new(),
            last_session: 0,
            touched: Vec::new(),
            schedule: Schedule::default(),
            farewells: Vec::new(),
        }
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Returns how many sessions there are, those with no answer yet included.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Begins to greet the sidecar at an address, unless there is a session.
    ///
    /// Returns whether a session was opened.
    pub fn open(&mut self, address: SocketAddr, now: Instant) -> bool {
        if self.peers.contains_key(&address) {
            return false;
        }
        self.last_session += 1;
        let peer = Peer::new(self.settings, self.last_session, now);
        self.peers.insert(address, peer);
        self.touch(address);
        true
    }

    /// Closes the session with the process at an address.
    ///
    /// The last order must be older than a sidecar takes orders for, since one that arrives late may
    /// find the session opened anew by a greeting that was late as well.
    pub fn close(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.remove(address) else {
            return;
        };
        let to = peer.remote().unwrap_or(0);
        self.bid_farewell(address, to, peer.session(), now);
    }

    /// Sends a message, and returns its number, or nothing if the process is not known any more.
    pub fn send(&mut self, to: Incarnation, message: Message) -> Option<MessageNumber> {
        let address = *self.addresses.get(&to)?;
        let number = self.peers.get_mut(&address)?.push(message);
        self.touch(address);
        Some(number)
    }

    /// Sets the state that a process is told.
    pub fn set_status(&mut self, to: Incarnation, status: SidecarStatus) {
        self.change(to, |peer| peer.set_status(status));
    }

    /// Says whether there is work between this process and another.
    pub fn set_busy(&mut self, with: Incarnation, is_busy: bool, now: Instant) {
        self.change(with, |peer| peer.set_busy(is_busy, now));
    }

    /// Returns the newest of our stamps that a process has named: it was alive after that moment.
    pub fn echoed_at(&self, from: Incarnation, now: Instant) -> Option<Instant> {
        let peer = self.peer(from)?;
        (peer.echo_ms() > 0).then(|| self.own.moment(peer.echo_ms(), now))
    }

    /// Returns the newest stamp of a process, and when it arrived.
    pub fn newest_stamp(&self, from: Incarnation) -> Option<(StampMs, Instant)> {
        self.peer(from)?.remote_stamp()
    }

    /// Returns whether there is a session with the process at an address, or it is being greeted.
    pub fn is_open(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Returns when something was last heard from an address, or when the session was opened.
    pub fn heard_at(&self, address: SocketAddr) -> Option<Instant> {
        self.peers.get(&address).map(Peer::heard_at)
    }

    /// Returns where a process is.
    pub fn address(&self, of: Incarnation) -> Option<SocketAddr> {
        self.addresses.get(&of).copied()
    }

    /// Takes in a datagram.
    pub fn receive(
        &mut self,
        address: SocketAddr,
        envelope: Envelope,
        now: Instant,
    ) -> SessionEvents {
        let mut events = SessionEvents::new();
        let is_elsewhere = |known: &SocketAddr| *known != address;
        let has_session = self.addresses.get(&envelope.from).is_some_and(is_elsewhere);
        if envelope.role == self.own.role || has_session {
            // A process has one session with another, whatever the ways between them.
            return events;
        }
        let known = self
            .peers
            .get(&address)
            .map(|peer| (peer.remote(), peer.session()));
        let is_current = known == Some((Some(envelope.from), envelope.session));
        if envelope.is_closing {
            if is_current {
                self.remove(address);
                events.push(SessionEvent::Gone(envelope.from));
            }
            return events;
        }
        if !is_current && !self.begins_session(&envelope, known) {
            let is_late = known.is_some_and(|(_, session)| envelope.session < session);
            if !is_late && envelope.to == self.own.incarnation {
                // The sender counts on a session that is not known here any more.
                self.bid_farewell(address, envelope.from, envelope.session, now);
            }
            return events;
        }
        let (from, settings, session) = (envelope.from, self.settings, envelope.session);
        let peer = self
            .peers
            .entry(address)
            .or_insert_with(|| Peer::new(settings, session, now));
        let before = peer.remote();
        events = peer.receive(envelope, &self.own, now);
        if peer.remote() != before {
            if let Some(old) = before {
                self.addresses.remove(&old);
            }
            self.addresses.insert(from, address);
        }
        self.touch(address);
        events
    }

    /// Returns whether a datagram that belongs to no session in force begins one: at an entry the
    /// answer of a process to its greeting, at a sidecar a greeting.
    fn begins_session(
        &self,
        envelope: &Envelope,
        known: Option<(Option<Incarnation>, SessionNumber)>,
    ) -> bool {
        match (self.own.role, known) {
            (Role::Entry, known) => known.is_some_and(|(_, session)| session == envelope.session),
            (Role::Sidecar, _) if envelope.to == self.own.incarnation => false,
            (Role::Sidecar, Some((Some(from), session))) if from == envelope.from => {
                envelope.session > session
            }
            (Role::Sidecar, _) => true,
        }
    }

    /// Returns the datagrams that are due, and who has fallen silent or was forgotten.
    pub fn poll(&mut self, now: Instant) -> (Vec<(SocketAddr, Envelope)>, Vec<SessionEvent>) {
        let mut datagrams = std::mem::take(&mut self.farewells);
        let mut events = Vec::new();
        let mut touched = std::mem::take(&mut self.touched);
        touched.extend(self.schedule.take_due(now));
        for address in touched {
            let Some(peer) = self.peers.get_mut(&address) else {
                continue;
            };
            let was_looked_at = !peer.is_touched && peer.scheduled_at.is_none_or(|at| at > now);
            if was_looked_at {
                continue;
            }
            let is_expired = self.own.role == Role::Sidecar
                && now.saturating_duration_since(peer.heard_at()) >= self.settings.expire_after;
            if is_expired {
                events.extend(peer.remote().map(SessionEvent::Gone));
                self.remove(address);
                continue;
            }
            peer.is_touched = false;
            events.extend(peer.check_silence(&self.own, now));
            for envelope in peer.poll(&self.own, now) {
                datagrams.push((address, envelope));
            }
            let due = peer.next_due(&self.own, now).max(now + LOOK_PAUSE_MIN);
            if peer.scheduled_at.is_none_or(|at| at <= now || due < at) {
                peer.scheduled_at = Some(due);
                self.schedule.add(due, address);
            }
        }
        (datagrams, events)
    }

    /// Returns when there is something to do even if nothing arrives.
    pub fn next_due(&self) -> Option<Instant> {
        self.schedule.next()
    }

    fn remove(&mut self, address: SocketAddr) -> Option<Peer> {
        let peer = self.peers.remove(&address)?;
        if let Some(remote) = peer.remote() {
            self.addresses.remove(&remote);
        }
        Some(peer)
    }

    fn bid_farewell(
        &mut self,
        address: SocketAddr,
        to: Incarnation,
        session: SessionNumber,
        now: Instant,
    ) {
        let farewell = Envelope {
            from: self.own.incarnation,
            role: self.own.role,
            to,
            session,
            is_closing: true,
            stamp_ms: self.own.stamp_ms(now),
            echo_ms: 0,
            received: 0,
            first: 1,
            messages: Vec::new(),
            status: None,
        };
        self.farewells.push((address, farewell));
    }

    fn change(&mut self, of: Incarnation, change: impl FnOnce(&mut Peer) -> bool) {
        let Some(address) = self.addresses.get(&of).copied() else {
            return;
        };
        if self.peers.get_mut(&address).is_some_and(change) {
            self.touch(address);
        }
    }

    fn touch(&mut self, address: SocketAddr) {
        let peer = self.peers.get_mut(&address);
        if peer.is_some_and(|peer| !std::mem::replace(&mut peer.is_touched, true)) {
            self.touched.push(address);
        }
    }

    fn peer(&self, of: Incarnation) -> Option<&Peer> {
        self.peers.get(self.addresses.get(&of)?)
    }
}
