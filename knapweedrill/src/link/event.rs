//! Events that the link table handles.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use super::LinkId;
use crate::common::SessionNumber;
use crate::message::Message;

/// An event that the embedding process reports to the link table.
#[value]
pub enum LinkTableEvent {
    /// A connection was established.
    Opened {
        /// The connection.
        link: LinkId,
        /// The address that was dialled, or `None` for an inbound connection.
        dialled: Option<SocketAddr>,
    },
    /// A frame arrived.
    Frame {
        /// The connection.
        link: LinkId,
        /// The session number in the frame.
        session: SessionNumber,
        /// The message.
        message: Message,
    },
    /// A connection has ended.
    Closed {
        /// The connection.
        link: LinkId,
    },
    /// A connection attempt failed.
    DialFailed {
        /// The address that was dialled.
        address: SocketAddr,
    },
    /// Time has passed; expected several times per ping interval.
    Tick,
}
