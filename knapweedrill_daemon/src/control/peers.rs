//! The links of a process to its peers.

use std::sync::Arc;
use std::time::Instant;

use knapweedrill::common::Incarnation;
use knapweedrill::event::EventKind;
use knapweedrill::link::{LinkAction, LinkTable, LinkTableEvent, WantedPeer};
use knapweedrill::message::{Frame, Message, Role};
use knapweedrill_wire::{DatagramSocket, LinkEvent, Links};

use crate::telemetry::{Counter, Metrics, Timeline, publish_sessions, publish_traffic};

/// What the links have brought.
#[derive(Debug)]
pub enum PeerEvent {
    /// A session opened.
    Up {
        /// The process at the other end.
        peer: Incarnation,
        /// Its role.
        role: Role,
    },
    /// A session closed.
    Down {
        /// The process at the other end.
        peer: Incarnation,
    },
    /// A message arrived.
    Message {
        /// The sender.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
}

/// The link sessions of a process, and the threads that carry them.
#[derive(Debug)]
pub struct Peers {
    table: LinkTable,
    links: Links,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Puts a link table in charge of the links.
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

    /// Takes in what happened on a link.
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
        self.carry_out(actions)
    }

    /// Lets pings, timeouts and dials happen that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.handle(LinkTableEvent::Tick, now);
        self.carry_out(actions)
    }

    /// Keeps a session with a peer from now on.
    pub fn want(&mut self, peer: WantedPeer, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.want(peer, now);
        self.carry_out(actions)
    }

    /// Keeps a session with a peer no longer.
    pub fn unwant(&mut self, peer: Incarnation, now: Instant) -> Vec<PeerEvent> {
        let actions = self.table.unwant(peer, now);
        self.carry_out(actions)
    }

    /// Sends a message to a peer; without a session it is dropped.
    pub fn send(&mut self, peer: Incarnation, message: Message, now: Instant) {
        if let Some(action) = self.table.send(peer, message, now) {
            self.carry_out(vec![action]);
        }
    }

    /// Returns whether a peer has an open session.
    pub fn is_up(&self, peer: Incarnation) -> bool {
        self.table.is_up(peer)
    }

    /// Returns the peers that have an open session.
    pub fn up(&self) -> Vec<Incarnation> {
        self.table.peers().collect()
    }

    /// Returns the threads that carry the links.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Publishes what has gone over links and datagrams.
    pub fn publish(&self, datagrams: &DatagramSocket) {
        publish_traffic(&self.metrics, &self.links, datagrams);
        publish_sessions(&self.metrics, self.table.counts());
    }

    fn carry_out(&mut self, actions: Vec<LinkAction>) -> Vec<PeerEvent> {
        actions
            .into_iter()
            .filter_map(|action| self.carry_out_one(action))
            .collect()
    }

    fn carry_out_one(&mut self, action: LinkAction) -> Option<PeerEvent> {
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
            LinkAction::PeerUp {
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
                Some(PeerEvent::Up { peer, role })
            }
            LinkAction::PeerDown { peer, session } => {
                log::info!(session; "session with {peer:016x} closed");
                self.metrics.add(Counter::SessionsClosed, 1);
                self.timeline
                    .record(EventKind::SessionClosed { peer, session });
                Some(PeerEvent::Down { peer })
            }
            LinkAction::Deliver { peer, message, .. } => Some(PeerEvent::Message { peer, message }),
        }
    }
}
