//! What the link table asks for.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use super::LinkNumber;
use crate::common::{Incarnation, ProcessName, SessionNumber};
use crate::message::{Message, Role};

/// What the process is to do, in order.
#[value]
pub enum LinkAction {
    /// Connect to an address.
    Dial {
        /// The address.
        address: SocketAddr,
    },
    /// Close a connection.
    Close {
        /// The connection.
        link: LinkNumber,
    },
    /// Send a message in a frame of this session.
    Send {
        /// The connection.
        link: LinkNumber,
        /// The session.
        session: SessionNumber,
        /// The message.
        message: Message,
    },
    /// A session with a peer has opened.
    PeerUp {
        /// The peer.
        peer: Incarnation,
        /// Its role.
        role: Role,
        /// Its name.
        name: ProcessName,
        /// The session.
        session: SessionNumber,
    },
    /// The session with a peer has ended; no more messages of it follow.
    PeerDown {
        /// The peer.
        peer: Incarnation,
        /// The session.
        session: SessionNumber,
    },
    /// A message of the peer's session arrived.
    Deliver {
        /// The peer.
        peer: Incarnation,
        /// The session.
        session: SessionNumber,
        /// The message; never `Hello`, `Ping` or `Pong`.
        message: Message,
    },
}
