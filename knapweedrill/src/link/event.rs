//! What happens to the link table.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use super::LinkNumber;
use crate::common::SessionNumber;
use crate::message::Message;

/// What happened.
#[value]
pub enum LinkTableEvent {
    /// A connection was made.
    Opened {
        /// The connection.
        link: LinkNumber,
        /// The address that was dialled, or `None` if the other side dialled.
        dialled: Option<SocketAddr>,
    },
    /// A frame arrived.
    Frame {
        /// The connection.
        link: LinkNumber,
        /// The session that the frame names.
        session: SessionNumber,
        /// The message.
        message: Message,
    },
    /// A connection has ended.
    Closed {
        /// The connection.
        link: LinkNumber,
    },
    /// A dial failed.
    DialFailed {
        /// The address that was dialled.
        address: SocketAddr,
    },
    /// Time has passed; wanted several times per ping interval.
    Tick,
}
