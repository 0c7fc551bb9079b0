//! The session table of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::envelope::{Envelope, MessageNumber, SessionNumber};
use super::link_budget::LinkBudget;
use super::peer::{Peer, SessionEvents};
use super::schedule::Schedule;
use super::sent_messages::SentMessages;
use super::{SessionEvent, SessionSettings};
use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};

/// The identity of a process, and the origin of its stamps.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The role of the process.
    pub role: Role,
    /// When the process started; stamps count from here.
    pub started_at: Instant,
}

impl Identity {
    /// Returns the stamp of an instant, 1 at the start of the process.
    pub fn stamp_ms(&self, at: Instant) -> StampMs {
        // Stamps start at 1, as 0 stands for no stamp.
        let since = at.saturating_duration_since(self.started_at).as_millis();
        StampMs::try_from(since).map_or(StampMs::MAX, |ms| ms + 1)
    }

    /// Returns the instant of a stamp of this process.
    ///
    /// For a stamp that lies after `now`, and so can't have been sent yet, it returns the start of
    /// the process, so that a forged or corrupt echo does not count as a sign of life.
    pub fn instant_from_stamp(&self, stamp_ms: StampMs, now: Instant) -> Instant {
        let since = Duration::from_millis(stamp_ms.saturating_sub(1));
        let instant = self.started_at.checked_add(since);
        instant.filter(|at| *at <= now).unwrap_or(self.started_at)
    }
}

/// The shortest interval between two timed polls of a session.
const TIMED_POLL_INTERVAL_MIN: Duration = Duration::from_millis(1);

/// All sessions of a process, by the address of the other side.
///
/// Entries open and close sessions; sidecars accept them. Each operation marks the session that it
/// changes as dirty. [`Sessions::poll`] handles only dirty sessions and those with an expired
/// timer.
#[derive(Debug)]
pub struct Sessions {
    own: Identity,
    settings: SessionSettings,
    peers: HashMap<SocketAddr, Peer>,
    addresses: HashMap<Incarnation, SocketAddr>,
    last_session: SessionNumber,
    dirty: Vec<SocketAddr>,
    schedule: Schedule,
    /// Closing datagrams that are yet to be sent.
    closing_datagrams: Vec<(SocketAddr, Envelope)>,
    /// The latest arrival of stamps that may be echoed; unlimited without one.
    stamp_limit: Option<Instant>,
    sent_messages: SentMessages,
    link_budget: LinkBudget,
}

impl Sessions {
    /// Creates an empty session table.
    pub fn new(own: Identity, settings: SessionSettings) -> Self {
        Self {
            own,
            settings,
            peers: HashMap::new(),
            addresses: HashMap::new(),
            last_session: 0,
            dirty: Vec::new(),
            schedule: Schedule::default(),
            closing_datagrams: Vec::new(),
            stamp_limit: None,
            sent_messages: SentMessages::default(),
            link_budget: LinkBudget::new(settings.link_bytes_per_s),
        }
    }

    /// Returns the identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Returns the number of sessions, including those that are not established yet.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether the table has no sessions.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Opens a session with the sidecar at an address, unless there is one.
    ///
    /// Returns whether a session was opened.
    pub fn open(&mut self, address: SocketAddr, now: Instant) -> bool {
        if self.peers.contains_key(&address) {
            return false;
        }
        self.last_session += 1;
        let peer = Peer::new(self.settings, self.last_session, now);
        self.peers.insert(address, peer);
        self.mark_dirty(address);
        true
    }

    /// Closes the session with the process at an address.
    ///
    /// The last order on the session has to be too old for the sidecar to accept. Otherwise a
    /// delayed order may be accepted on a session that a delayed hello has reopened.
    pub fn close(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.remove(address) else {
            return;
        };
        let to = peer.remote().unwrap_or(0);
        self.queue_closing_datagram(address, to, peer.session(), now);
    }

    /// Queues a message and returns its number, or `None` if there is no session with the process.
    pub fn send(
        &mut self,
        to: Incarnation,
        message: Message,
        now: Instant,
    ) -> Option<MessageNumber> {
        let address = *self.addresses.get(&to)?;
        let (number, bytes) = self
            .peers
            .get_mut(&address)?
            .push(message, self.stamp_limit, now);
        self.link_budget.spend(bytes);
        self.mark_dirty(address);
        Some(number)
    }

    /// Fills the budget of the link up to now, and returns whether the link can take a start order
    /// without letting it wait.
    pub fn has_link_room(&mut self, now: Instant) -> bool {
        self.link_budget.fill(now);
        self.link_budget.has_room()
    }

    /// Counts an answer to a caller, which takes room of the link as well.
    pub fn record_answer(&mut self) {
        self.link_budget.spend_answer();
    }

    /// Returns how long the link of this process needs for start orders of so many bytes, after all
    /// that has been sent.
    pub fn link_delay(&self, bytes: u64) -> Duration {
        self.link_budget.delay(bytes)
    }

    /// Returns for how long the oldest stop order without an acknowledgement has been pending.
    pub fn stop_pending_for(&self, now: Instant) -> Duration {
        let since = self.peers.values().filter_map(Peer::stop_pending_since);
        since
            .min()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the counts of the messages that have been sent.
    pub fn sent_messages(&self) -> &SentMessages {
        &self.sent_messages
    }

    /// Returns the number of messages of all sessions without an acknowledgement.
    pub fn queued_message_count(&self) -> usize {
        self.peers.values().map(Peer::queued_message_count).sum()
    }

    /// Sets the status to send to a process.
    pub fn set_status(&mut self, to: Incarnation, status: SidecarStatus) {
        self.change(to, |peer| peer.set_status(status));
    }

    /// Sets whether the session with a process has work: placements that have not ended.
    pub fn set_busy(&mut self, with: Incarnation, is_busy: bool, now: Instant) {
        self.change(with, |peer| peer.set_busy(is_busy, now));
    }

    /// Returns the time of our newest stamp that a process has echoed. The process was alive after
    /// that time.
    pub fn echoed_at(&self, from: Incarnation, now: Instant) -> Option<Instant> {
        let peer = self.peer(from)?;
        (peer.echo_ms() > 0).then(|| self.own.instant_from_stamp(peer.echo_ms(), now))
    }

    /// Limits the stamps that are echoed, and returned by [`newest_stamp`](Self::newest_stamp), to
    /// those that arrived until an instant.
    ///
    /// An echo proves that this process was alive after the stamp was sent. A process that has not
    /// handled the rest of its input up to then must not give that proof.
    pub fn set_stamp_limit(&mut self, limit: Instant) {
        self.stamp_limit = Some(limit);
    }

    /// Returns the newest stamp of a process that may be echoed, and its time of arrival.
    pub fn newest_stamp(&self, from: Incarnation) -> Option<(StampMs, Instant)> {
        self.peer(from)?.remote_stamp(self.stamp_limit)
    }

    /// Returns whether there is a session with an address, established or being opened.
    pub fn is_open(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Returns when the last datagram arrived from an address, or when the session was opened if
    /// none has.
    pub fn last_received_at(&self, address: SocketAddr) -> Option<Instant> {
        self.peers.get(&address).map(Peer::last_received_at)
    }

    /// Returns the address of a process, if there is an established session with it.
    pub fn address(&self, of: Incarnation) -> Option<SocketAddr> {
        self.addresses.get(&of).copied()
    }

    /// Handles a datagram and returns the events that it causes.
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
            // Two processes share at most one session, even if several addresses lead to a process.
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
                events.push(SessionEvent::Disconnected(envelope.from));
            }
            return events;
        }
        if !is_current && !self.establishes_session(&envelope, known) {
            let is_late = known.is_some_and(|(_, session)| envelope.session < session);
            if !is_late && envelope.to == self.own.incarnation {
                // The sender uses a session that has been dropped here.
                self.queue_closing_datagram(address, envelope.from, envelope.session, now);
            }
            return events;
        }
        let (from, settings, session) = (envelope.from, self.settings, envelope.session);
        let peer = self
            .peers
            .entry(address)
            .or_insert_with(|| Peer::new(settings, session, now));
        let before = peer.remote();
        events = peer.receive(envelope, &self.own, self.stamp_limit, now);
        if peer.remote() != before {
            if let Some(old) = before {
                self.addresses.remove(&old);
            }
            self.addresses.insert(from, address);
        }
        self.mark_dirty(address);
        events
    }

    /// Returns whether a datagram that belongs to no current session establishes one: the answer to
    /// a hello at an entry, a hello at a sidecar.
    fn establishes_session(
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

    /// Returns the datagrams that are due, and events for sessions that fell silent or expired.
    pub fn poll(&mut self, now: Instant) -> (Vec<(SocketAddr, Envelope)>, Vec<SessionEvent>) {
        self.link_budget.fill(now);
        let mut datagrams = std::mem::take(&mut self.closing_datagrams);
        let mut events = Vec::new();
        let mut to_poll = std::mem::take(&mut self.dirty);
        to_poll.extend(self.schedule.take_due(now));
        for address in to_poll {
            let Some(peer) = self.peers.get_mut(&address) else {
                continue;
            };
            let is_outdated = !peer.is_dirty && peer.scheduled_at.is_none_or(|at| at > now);
            if is_outdated {
                continue;
            }
            let is_expired = self.own.role == Role::Sidecar
                && now.saturating_duration_since(peer.last_received_at())
                    >= self.settings.expiry_timeout;
            if is_expired {
                events.extend(peer.remote().map(SessionEvent::Disconnected));
                self.remove(address);
                continue;
            }
            peer.is_dirty = false;
            events.extend(peer.check_silence(&self.own, now));
            let first_new = peer.last_sent() + 1;
            for envelope in peer.poll(&self.own, self.stamp_limit, now) {
                let repeated_bytes = self.sent_messages.record(&envelope, first_new);
                self.link_budget.spend(repeated_bytes);
                self.link_budget.spend_datagram();
                datagrams.push((address, envelope));
            }
            let due = peer
                .next_due(&self.own, now)
                .max(now + TIMED_POLL_INTERVAL_MIN);
            if peer.scheduled_at.is_none_or(|at| at <= now || due < at) {
                peer.scheduled_at = Some(due);
                self.schedule.add(due, address);
            }
        }
        (datagrams, events)
    }

    /// Returns when [`Sessions::poll`] has to be called next if nothing changes before.
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

    fn queue_closing_datagram(
        &mut self,
        address: SocketAddr,
        to: Incarnation,
        session: SessionNumber,
        now: Instant,
    ) {
        let closing = Envelope {
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
        self.closing_datagrams.push((address, closing));
    }

    fn change(&mut self, of: Incarnation, change: impl FnOnce(&mut Peer) -> bool) {
        let Some(address) = self.addresses.get(&of).copied() else {
            return;
        };
        if self.peers.get_mut(&address).is_some_and(change) {
            self.mark_dirty(address);
        }
    }

    fn mark_dirty(&mut self, address: SocketAddr) {
        let peer = self.peers.get_mut(&address);
        if peer.is_some_and(|peer| !std::mem::replace(&mut peer.is_dirty, true)) {
            self.dirty.push(address);
        }
    }

    fn peer(&self, of: Incarnation) -> Option<&Peer> {
        self.peers.get(self.addresses.get(&of)?)
    }
}
