//! The link sessions between a process and its peers.

use std::sync::Arc;
use std::time::Instant;

use knapweedrill::common::Incarnation;
use knapweedrill::event::EventKind;
use knapweedrill::link::{LinkAction, LinkTable, LinkTableEvent, PeerEndpoint};
use knapweedrill::message::{Frame, Message, Role};
use knapweedrill_wire::{DatagramSocket, LinkEvent, Links};

use crate::telemetry::{Counter, Metrics, Timeline, publish_sessions, publish_traffic};

/// A change of a session, or a message received on it.
#[derive(Debug)]
pub enum PeerEvent {
    /// A session with a peer opened.
    Connected {
        /// The incarnation of the peer.
        peer: Incarnation,
        /// The role of the peer.
        role: Role,
    },
    /// The session with a peer closed.
    Disconnected {
        /// The incarnation of the peer.
        peer: Incarnation,
    },
    /// A message arrived on a session.
    Message {
        /// The incarnation of the sender.
        peer: Incarnation,
        /// The decoded message.
        message: Message,
    },
}

/// The link sessions of a process, and the connections and I/O threads that carry them.
#[derive(Debug)]
pub struct Peers {
    table: LinkTable,
    links: Links,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Creates the sessions; `table` decides which links are opened and closed.
    pub fn new(
        table: LinkTable,
        links: Links,
        timeline: Arc<Timeline>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            table,
            links,
            timeline,
            metrics,
        }
    }

    /// Processes an event of a link and returns the resulting changes and messages.
    pub fn handle(&mut self, event: LinkEvent, now: Instant) -> Vec<PeerEvent> {
        let event = match event {
            LinkEvent::Opened { link, dialled, .. } => LinkTableEvent::Opened { link, dialled },
            LinkEvent::Frame { link, frame } => {
                self.timeline.observe(frame.clock);
                LinkTableEvent::Frame {
                    link,
                    session: frame.session,
                    message: frame.message,
                }
            }
            LinkEvent::Closed { link } => LinkTableEvent::Closed { link },
            LinkEvent::DialFailed { address } => LinkTableEvent::DialFailed { address },
        };
        let actions = self.table.handle(event, now);
        self.execute_actions(actions)
    }

    /// Runs the pings, timeouts and dials that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.handle(LinkTableEvent::Tick, now);
        self.execute_actions(actions)
    }

    /// Adds a peer to those with which a session is kept open.
    pub fn want(&mut self, peer: PeerEndpoint, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.add_peer(peer, now);
        self.execute_actions(actions)
    }

    /// Removes a peer from those with which a session is kept open.
    pub fn unwant(&mut self, peer: Incarnation, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.remove_peer(peer, now);
        self.execute_actions(actions)
    }

    /// Sends a message to a peer. Without an open session the message is dropped.
    pub fn send(&mut self, peer: Incarnation, message: Message, now: Instant) {
        if let Some(action) = self.table.send(peer, message, now) {
            self.execute_actions(vec![action]);
        }
    }

    /// Returns whether a peer has an open session.
    pub fn is_connected(&self, peer: Incarnation) -> bool {
        self.table.is_connected(peer)
    }

    /// Returns the peers that have an open session.
    pub fn connected(&self) -> Vec<Incarnation> {
        self.table.peers().collect()
    }

    /// Returns the connections and I/O threads that carry the sessions.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Copies the traffic counts of links and datagrams and the session counts to the metrics.
    pub fn publish(&self, datagrams: &DatagramSocket) {
        publish_traffic(&self.metrics, &self.links, datagrams);
        publish_sessions(&self.metrics, self.table.counts());
    }

    fn execute_actions(&mut self, actions: Vec<LinkAction>) -> Vec<PeerEvent> {
        actions
            .into_iter()
            .filter_map(|action| self.execute_action(action))
            .collect()
    }

    fn execute_action(&mut self, action: LinkAction) -> Option<PeerEvent> {
        match action {
            LinkAction::Dial { address } => {
                self.links.dial(address);
                None
            }
            LinkAction::Close { link } => {
                self.links.close(link);
                None
            }
            LinkAction::Send {
                link,
                session,
                message,
            } => {
                let clock = self.timeline.stamp();
                self.links.send(
                    link,
                    Frame {
                        session,
                        clock,
                        message,
                    },
                );
                None
            }
            LinkAction::PeerConnected {
                peer,
                role,
                name,
                session,
            } => {
                log::info!(peer = name.as_str(), session; "session opened");
                self.timeline.record(EventKind::SessionOpened {
                    peer,
                    peer_name: name,
                    session,
                });
                Some(PeerEvent::Connected { peer, role })
            }
            LinkAction::PeerDisconnected { peer, session } => {
                log::info!(session; "session with {peer:016x} closed");
                self.metrics.add(Counter::SessionsClosed, 1);
                self.timeline
                    .record(EventKind::SessionClosed { peer, session });
                Some(PeerEvent::Disconnected { peer })
            }
            LinkAction::Deliver { peer, message, .. } => Some(PeerEvent::Message { peer, message }),
        }
    }
}
