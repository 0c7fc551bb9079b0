//! Outgoing datagrams.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use crate::message::Datagram;

/// A datagram to send and its recipients.
#[value]
pub struct OutgoingDatagram {
    /// The addresses of the recipients; all get the same datagram.
    pub recipients: Vec<SocketAddr>,
    /// The datagram to send.
    pub datagram: Datagram,
}
