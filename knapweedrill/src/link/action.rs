//! Actions that the link table requests.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use super::LinkId;
use crate::common::{Incarnation, ProcessName, SessionNumber};
use crate::message::{Message, Role};

/// An action that the embedding process carries out, in the order in which it was returned.
#[value]
pub enum LinkAction {
    /// Opens a TCP connection to an address.
    Dial {
        /// The address of the peer's listener.
        address: SocketAddr,
    },
    /// Closes a connection.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// Sends a message in a frame that carries the session number.
    Send {
        /// The connection.
        link: LinkId,
        /// The session.
        session: SessionNumber,
        /// The message.
        message: Message,
    },
    /// Reports that a session with a peer has opened.
    PeerConnected {
        /// The incarnation of the peer.
        peer: Incarnation,
        /// The role of the peer.
        role: Role,
        /// The name of the peer.
        name: ProcessName,
        /// The session.
        session: SessionNumber,
    },
    /// Reports that the session with a peer has ended; no message of it is delivered afterwards.
    PeerDisconnected {
        /// The incarnation of the peer.
        peer: Incarnation,
        /// The session.
        session: SessionNumber,
    },
    /// Delivers a message that arrived in the open session of a peer.
    Deliver {
        /// The incarnation of the peer.
        peer: Incarnation,
        /// The session.
        session: SessionNumber,
        /// The message; never `Hello`, `Ping` or `Pong`.
        message: Message,
    },
}
