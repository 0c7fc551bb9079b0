//! The state of links and of dials.

use std::time::Instant;

use super::{LinkNumber, WantedPeer};
use crate::common::{Incarnation, SessionNumber};

/// A connection and its session.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) phase: LinkPhase,
    pub(super) opened_at: Instant,
    pub(super) received_at: Instant,
    pub(super) sent_at: Instant,
}

impl LinkState {
    pub(super) fn new(phase: LinkPhase, now: Instant) -> Self {
        Self {
            phase,
            opened_at: now,
            received_at: now,
            sent_at: now,
        }
    }
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy)]
pub(super) enum LinkPhase {
    /// The other side dialled and has to say hello.
    AwaitsHello,
    /// This side dialled and said hello; the other has to reply.
    AwaitsReply(PeerSession),
    /// The session is open, and it is the only one with the peer.
    Open(PeerSession),
}

impl LinkPhase {
    /// Returns the session that is open or about to be.
    pub(super) fn session(&self) -> Option<PeerSession> {
        match self {
            Self::AwaitsHello => None,
            Self::AwaitsReply(session) | Self::Open(session) => Some(*session),
        }
    }
}

/// A session with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerSession {
    pub(super) peer: Incarnation,
    pub(super) number: SessionNumber,
}

/// The dialling of a wanted peer.
#[derive(Debug)]
pub(super) struct DialState {
    pub(super) peer: WantedPeer,
    pub(super) phase: DialPhase,
    pub(super) failed_count: u32,
}

/// How far the dialling of a peer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialPhase {
    /// The next dial is due at a time.
    Waiting {
        /// That time.
        until: Instant,
    },
    /// A dial is under way.
    Dialling {
        /// Since when.
        since: Instant,
    },
    /// The hello was sent on a connection.
    Greeting {
        /// The connection.
        link: LinkNumber,
    },
    /// The session is open.
    Up {
        /// The connection.
        link: LinkNumber,
        /// Since when.
        since: Instant,
    },
}

impl DialPhase {
    /// Returns whether the phase rests on a connection.
    pub(super) fn uses(&self, number: LinkNumber) -> bool {
        match self {
            Self::Greeting { link } | Self::Up { link, .. } => *link == number,
            Self::Waiting { .. } | Self::Dialling { .. } => false,
        }
    }
}
