//! The link table of a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::backoff::backoff;
use super::state::{DialPhase, DialState, LinkPhase, LinkState, PeerSession};
use super::{
    Identity, LinkAction, LinkId, LinkTableCounts, LinkTableEvent, PeerEndpoint, SessionSettings,
};
use crate::common::{Incarnation, SessionNumber};
use crate::message::{Hello, Message, PROTOCOL_VERSION, Role};

/// How many diallers' last session numbers are kept.
const FENCE_COUNT_MAX: usize = 4096;

/// Manages the sessions of a process.
///
/// A peer is connected while it has an open session, and it never has more than one. A message is
/// delivered only while its session is open.
#[derive(Debug)]
pub struct LinkTable {
    own: Identity,
    settings: SessionSettings,
    rng: StdRng,
    dials: BTreeMap<Incarnation, DialState>,
    links: BTreeMap<LinkId, LinkState>,
    /// The connection of each open session.
    open: BTreeMap<Incarnation, LinkId>,
    /// The highest session number that each dialler has opened.
    fences: BTreeMap<Incarnation, SessionNumber>,
    /// Shared by all peers, so that session numbers ascend for a peer that was removed and added.
    last_session: SessionNumber,
    counts: LinkTableCounts,
}

/// Interface for the embedding process.
impl LinkTable {
    /// Creates a table without sessions; `seed` makes the backoff jitter reproducible.
    pub fn new(own: Identity, settings: SessionSettings, seed: u64) -> Self {
        Self {
            own,
            settings,
            rng: StdRng::seed_from_u64(seed),
            dials: BTreeMap::new(),
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            fences: BTreeMap::new(),
            last_session: 0,
            counts: LinkTableCounts::default(),
        }
    }

    /// Keeps a session with the peer from now on, if this process is the one that dials.
    ///
    /// A repeated call with another address changes the address of later attempts.
    pub fn add_peer(&mut self, peer: PeerEndpoint, now: Instant) -> Vec<LinkAction> {
        let mut actions = self.remove_predecessors(peer, now);
        if !self.own.dials(peer.incarnation, peer.role) {
            return actions;
        }
        let dial = self.dials.entry(peer.incarnation).or_insert(DialState {
            peer,
            phase: DialPhase::Waiting { until: now },
            failed_count: 0,
        });
        dial.peer = peer;
        self.dial_if_due(peer.incarnation, now, &mut actions);
        actions
    }

    /// Removes earlier incarnations at the address of a peer; only one can listen there.
    ///
    /// A hello for an earlier incarnation would fence the session with the current one.
    fn remove_predecessors(&mut self, peer: PeerEndpoint, now: Instant) -> Vec<LinkAction> {
        let predecessors: Vec<Incarnation> = self
            .dials
            .values()
            .map(|dial| dial.peer)
            .filter(|other| other.address == peer.address)
            .filter(|other| other.incarnation != peer.incarnation)
            .map(|other| other.incarnation)
            .collect();
        predecessors
            .into_iter()
            .flat_map(|predecessor| self.remove_peer(predecessor, now))
            .collect()
    }

    /// Closes the session with a peer and stops dialling it.
    pub fn remove_peer(&mut self, peer: Incarnation, now: Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let Some(dial) = self.dials.remove(&peer) else {
            return actions;
        };
        if let DialPhase::AwaitingReply { link } | DialPhase::Connected { link, .. } = dial.phase {
            self.close(link, now, &mut actions);
        }
        actions
    }

    /// Returns the action that sends a message to a peer, or `None` if the peer is not connected.
    pub fn send(
        &mut self,
        peer: Incarnation,
        message: Message,
        now: Instant,
    ) -> Option<LinkAction> {
        let link = *self.open.get(&peer)?;
        let state = self.links.get_mut(&link)?;
        let session = state.phase.session()?.number;
        state.sent_at = now;
        Some(LinkAction::Send {
            link,
            session,
            message,
        })
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, event: LinkTableEvent, now: Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        match event {
            LinkTableEvent::Opened { link, dialled } => {
                self.on_opened(link, dialled, now, &mut actions);
            }
            LinkTableEvent::Frame {
                link,
                session,
                message,
            } => self.on_frame(link, session, message, now, &mut actions),
            LinkTableEvent::Closed { link } => self.remove_link(link, now, &mut actions),
            LinkTableEvent::DialFailed { address } => {
                self.on_dial_failed(address, now, &mut actions);
            }
            LinkTableEvent::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Returns the number of the open session with a peer.
    pub fn session(&self, peer: Incarnation) -> Option<SessionNumber> {
        let link = self.open.get(&peer)?;
        Some(self.links.get(link)?.phase.session()?.number)
    }

    /// Returns whether a peer has an open session.
    pub fn is_connected(&self, peer: Incarnation) -> bool {
        self.open.contains_key(&peer)
    }

    /// Returns the peers that have an open session.
    pub fn peers(&self) -> impl Iterator<Item = Incarnation> {
        self.open.keys().copied()
    }

    /// Returns the counters, which start at zero when the table is created.
    pub fn counts(&self) -> LinkTableCounts {
        self.counts
    }
}

/// Connections.
impl LinkTable {
    fn on_opened(
        &mut self,
        link: LinkId,
        dialled: Option<SocketAddr>,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        let Some(address) = dialled else {
            let state = LinkState::new(LinkPhase::AwaitingHello, now);
            self.links.insert(link, state);
            return;
        };
        match self.dialled_peer(address) {
            Some(peer) => self.start_handshake(link, peer, now, actions),
            // The attempt timed out earlier, or the peer was removed.
            None => actions.push(LinkAction::Close { link }),
        }
    }

    fn dialled_peer(&self, address: SocketAddr) -> Option<Incarnation> {
        self.dials
            .values()
            .find(|dial| {
                dial.peer.address == address && matches!(dial.phase, DialPhase::Dialling { .. })
            })
            .map(|dial| dial.peer.incarnation)
    }

    fn start_handshake(
        &mut self,
        link: LinkId,
        peer: Incarnation,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        self.last_session += 1;
        let number = self.last_session;
        let phase = LinkPhase::AwaitingReply(PeerSession { peer, number });
        self.links.insert(link, LinkState::new(phase, now));
        self.set_dial_phase(peer, DialPhase::AwaitingReply { link });
        actions.push(self.hello(link, number));
    }

    fn hello(&self, link: LinkId, session: SessionNumber) -> LinkAction {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            incarnation: self.own.incarnation,
            role: self.own.role,
            name: self.own.name.clone(),
            session,
        };
        LinkAction::Send {
            link,
            session,
            message: Message::Hello(hello),
        }
    }

    fn close(&mut self, link: LinkId, now: Instant, actions: &mut Vec<LinkAction>) {
        actions.push(LinkAction::Close { link });
        self.remove_link(link, now, actions);
    }

    /// Removes a connection that has ended; its later frames are dropped.
    fn remove_link(&mut self, link: LinkId, now: Instant, actions: &mut Vec<LinkAction>) {
        let Some(state) = self.links.remove(&link) else {
            return;
        };
        let Some(PeerSession { peer, number }) = state.phase.session() else {
            return;
        };
        if matches!(state.phase, LinkPhase::Open(_)) {
            self.open.remove(&peer);
            let session = number;
            actions.push(LinkAction::PeerDisconnected { peer, session });
        }
        if self
            .dials
            .get(&peer)
            .is_some_and(|dial| dial.phase.uses(link))
        {
            self.schedule_dial(peer, now);
            self.dial_if_due(peer, now, actions);
        }
    }
}

/// Connection attempts.
impl LinkTable {
    fn set_dial_phase(&mut self, peer: Incarnation, phase: DialPhase) {
        if let Some(dial) = self.dials.get_mut(&peer) {
            dial.phase = phase;
        }
    }

    fn on_dial_failed(&mut self, address: SocketAddr, now: Instant, actions: &mut Vec<LinkAction>) {
        if let Some(peer) = self.dialled_peer(address) {
            self.schedule_dial(peer, now);
            self.dial_if_due(peer, now, actions);
        }
    }

    /// Schedules the next attempt: at once after a stable session, otherwise after a backoff.
    fn schedule_dial(&mut self, peer: Incarnation, now: Instant) {
        let Some(dial) = self.dials.get_mut(&peer) else {
            return;
        };
        let until = match dial.phase {
            DialPhase::Connected { since, .. } if now - since >= self.settings.stable_after => {
                dial.failed_count = 0;
                now
            }
            _ => {
                dial.failed_count = dial.failed_count.saturating_add(1);
                now + backoff(dial.failed_count, &self.settings, &mut self.rng)
            }
        };
        dial.phase = DialPhase::Waiting { until };
    }

    fn dial_if_due(&mut self, peer: Incarnation, now: Instant, actions: &mut Vec<LinkAction>) {
        let Some(dial) = self.dials.get_mut(&peer) else {
            return;
        };
        if matches!(dial.phase, DialPhase::Waiting { until } if until <= now) {
            dial.phase = DialPhase::Dialling { since: now };
            let address = dial.peer.address;
            actions.push(LinkAction::Dial { address });
        }
    }
}

/// Messages.
impl LinkTable {
    fn on_frame(
        &mut self,
        link: LinkId,
        session: SessionNumber,
        message: Message,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        let Some(state) = self.links.get_mut(&link) else {
            self.counts.fenced_frame_count += 1;
            return;
        };
        state.received_at = now;
        match (state.phase, message) {
            (LinkPhase::Open(open), _) if open.number != session => {
                self.counts.fenced_frame_count += 1;
            }
            (LinkPhase::AwaitingHello, Message::Hello(hello)) if hello.session == session => {
                self.on_hello(link, hello, now, actions);
            }
            (LinkPhase::AwaitingReply(awaited), Message::Hello(hello))
                if hello.session == session =>
            {
                self.on_reply(link, awaited, hello, now, actions);
            }
            (LinkPhase::AwaitingHello | LinkPhase::AwaitingReply(_), _)
            | (LinkPhase::Open(_), Message::Hello(_)) => {
                self.counts.protocol_error_count += 1;
                self.close(link, now, actions);
            }
            (LinkPhase::Open(open), message) => self.on_message(open, message, now, actions),
        }
    }

    fn on_message(
        &mut self,
        open: PeerSession,
        message: Message,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        match message {
            Message::Ping => actions.extend(self.send(open.peer, Message::Pong, now)),
            Message::Pong => {}
            message => actions.push(LinkAction::Deliver {
                peer: open.peer,
                session: open.number,
                message,
            }),
        }
    }

    /// Handles the hello of a dialler.
    fn on_hello(
        &mut self,
        link: LinkId,
        hello: Hello,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        if !self.is_acceptable(&hello) {
            self.counts.refused_hello_count += 1;
            return self.close(link, now, actions);
        }
        if let Some(&earlier) = self.open.get(&hello.incarnation) {
            self.close(earlier, now, actions);
        }
        self.fence(hello.incarnation, hello.session);
        actions.push(self.hello(link, hello.session));
        self.open_session(link, hello, now, actions);
    }

    fn is_acceptable(&self, hello: &Hello) -> bool {
        let dialler = Identity {
            incarnation: hello.incarnation,
            role: hello.role,
            name: String::new(),
        };
        let last = self.fences.get(&hello.incarnation).copied();
        hello.protocol_version == PROTOCOL_VERSION
            && dialler.dials(self.own.incarnation, self.own.role)
            && last.is_none_or(|last| hello.session > last)
    }

    fn fence(&mut self, dialler: Incarnation, session: SessionNumber) {
        self.fences.insert(dialler, session);
        if self.fences.len() > FENCE_COUNT_MAX {
            // A dialler without a session here has closed its old connections or is gone. If an
            // old connection still opened a session, the silence timeout would close it.
            let open = &self.open;
            self.fences
                .retain(|peer, _| *peer == dialler || open.contains_key(peer));
        }
    }

    /// Handles the reply to the hello of this process.
    fn on_reply(
        &mut self,
        link: LinkId,
        awaited: PeerSession,
        hello: Hello,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        let is_expected = hello.protocol_version == PROTOCOL_VERSION
            && hello.incarnation == awaited.peer
            && hello.session == awaited.number
            && self.role_of(awaited.peer) == Some(hello.role);
        if !is_expected {
            self.counts.refused_hello_count += 1;
            return self.close(link, now, actions);
        }
        self.set_dial_phase(awaited.peer, DialPhase::Connected { link, since: now });
        self.open_session(link, hello, now, actions);
    }

    fn role_of(&self, peer: Incarnation) -> Option<Role> {
        self.dials.get(&peer).map(|dial| dial.peer.role)
    }

    fn open_session(
        &mut self,
        link: LinkId,
        hello: Hello,
        now: Instant,
        actions: &mut Vec<LinkAction>,
    ) {
        let peer = hello.incarnation;
        let number = hello.session;
        let phase = LinkPhase::Open(PeerSession { peer, number });
        self.links.insert(link, LinkState::new(phase, now));
        self.open.insert(peer, link);
        self.counts.opened_session_count += 1;
        actions.push(LinkAction::PeerConnected {
            peer,
            role: hello.role,
            name: hello.name,
            session: number,
        });
    }
}

/// Timeouts and pings.
impl LinkTable {
    fn on_tick(&mut self, now: Instant, actions: &mut Vec<LinkAction>) {
        self.close_overdue(now, actions);
        self.ping_idle(now, actions);
        self.retry_dials(now, actions);
    }

    fn close_overdue(&mut self, now: Instant, actions: &mut Vec<LinkAction>) {
        let overdue: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, state)| is_overdue(state, &self.settings, now))
            .map(|(link, _)| *link)
            .collect();
        for link in overdue {
            if matches!(self.links[&link].phase, LinkPhase::Open(_)) {
                self.counts.silent_session_count += 1;
            }
            self.close(link, now, actions);
        }
    }

    fn ping_idle(&mut self, now: Instant, actions: &mut Vec<LinkAction>) {
        let ping_interval = self.settings.ping_interval;
        for (link, state) in &mut self.links {
            let LinkPhase::Open(open) = state.phase else {
                continue;
            };
            if now - state.sent_at >= ping_interval {
                state.sent_at = now;
                actions.push(LinkAction::Send {
                    link: *link,
                    session: open.number,
                    message: Message::Ping,
                });
            }
        }
    }

    fn retry_dials(&mut self, now: Instant, actions: &mut Vec<LinkAction>) {
        let peers: Vec<Incarnation> = self.dials.keys().copied().collect();
        for peer in peers {
            let phase = self.dials[&peer].phase;
            let dial_timeout = self.settings.dial_timeout;
            if matches!(phase, DialPhase::Dialling { since } if now - since >= dial_timeout) {
                self.schedule_dial(peer, now);
            }
            self.dial_if_due(peer, now, actions);
        }
    }
}

fn is_overdue(state: &LinkState, settings: &SessionSettings, now: Instant) -> bool {
    match state.phase {
        LinkPhase::AwaitingHello | LinkPhase::AwaitingReply(_) => {
            now - state.opened_at >= settings.hello_timeout
        }
        LinkPhase::Open(_) => now - state.received_at >= settings.silence_timeout,
    }
}
