//! State of connections and connection attempts.

use std::time::Instant;

use super::{LinkId, PeerEndpoint};
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

/// The handshake phase of a connection.
#[derive(Debug, Clone, Copy)]
pub(super) enum LinkPhase {
    /// The peer dialled and has not sent its hello yet.
    AwaitingHello,
    /// This process dialled and sent its hello; the peer has not replied yet.
    AwaitingReply(PeerSession),
    /// The session is open; a peer has at most one open session.
    Open(PeerSession),
}

impl LinkPhase {
    /// Returns the session that is open or being opened.
    pub(super) fn session(&self) -> Option<PeerSession> {
        match self {
            Self::AwaitingHello => None,
            Self::AwaitingReply(session) | Self::Open(session) => Some(*session),
        }
    }
}

/// A numbered session with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerSession {
    pub(super) peer: Incarnation,
    pub(super) number: SessionNumber,
}

/// The connection attempts to one peer.
#[derive(Debug)]
pub(super) struct DialState {
    pub(super) peer: PeerEndpoint,
    pub(super) phase: DialPhase,
    pub(super) failed_count: u32,
}

/// The phase of the connection to a peer that this process dials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialPhase {
    /// The next connection attempt is scheduled.
    Waiting {
        /// When the attempt is due.
        until: Instant,
    },
    /// A connection attempt is in progress.
    Dialling {
        /// When the attempt started.
        since: Instant,
    },
    /// The hello was sent and the reply has not arrived.
    AwaitingReply {
        /// The connection.
        link: LinkId,
    },
    /// The session is open.
    Connected {
        /// The connection.
        link: LinkId,
        /// When the session opened.
        since: Instant,
    },
}

impl DialPhase {
    /// Returns whether the phase depends on the connection `link_id`.
    pub(super) fn uses(&self, link_id: LinkId) -> bool {
        match self {
            Self::AwaitingReply { link } | Self::Connected { link, .. } => *link == link_id,
            Self::Waiting { .. } | Self::Dialling { .. } => false,
        }
    }
}
