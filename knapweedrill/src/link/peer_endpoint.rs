//! Peers to keep a session with.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::{PeerAddress, Role};
use crate::minion::Announcement;

/// The identity and link address of a peer to keep a session with.
#[value]
#[derive(Copy, Eq)]
pub struct PeerEndpoint {
    /// The incarnation of the peer.
    pub incarnation: Incarnation,
    /// The role of the peer.
    pub role: Role,
    /// The address at which the peer accepts links.
    pub address: SocketAddr,
}

impl From<&PeerAddress> for PeerEndpoint {
    fn from(peer: &PeerAddress) -> Self {
        Self {
            incarnation: peer.incarnation,
            role: peer.role,
            address: peer.link_address,
        }
    }
}

impl From<&Announcement> for PeerEndpoint {
    fn from(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.sidecar,
            role: Role::Sidecar,
            address: announcement.link_address,
        }
    }
}
