//! Who takes part in a link.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use crate::common::{Incarnation, ProcessName};
use crate::message::{PeerAddress, Role};
use crate::minion::Announcement;

/// The process that a link table belongs to.
#[value]
pub struct Identity {
    /// The process's run.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// Its name.
    pub name: ProcessName,
}

impl Identity {
    /// Returns whether this process is the one that dials the other.
    pub fn dials(&self, incarnation: Incarnation, role: Role) -> bool {
        match (self.role, role) {
            (Role::Entry, Role::Sidecar) => true,
            (Role::Entry, Role::Entry) => self.incarnation < incarnation,
            (Role::Sidecar, _) => false,
        }
    }
}

/// A process that a session is wanted with.
#[value]
#[derive(Copy, Eq)]
pub struct WantedPeer {
    /// The process's run.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// The address at which it accepts links.
    pub address: SocketAddr,
}

impl From<&PeerAddress> for WantedPeer {
    fn from(peer: &PeerAddress) -> Self {
        Self {
            incarnation: peer.incarnation,
            role: peer.role,
            address: peer.link_address,
        }
    }
}

impl From<&Announcement> for WantedPeer {
    fn from(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.sidecar,
            role: Role::Sidecar,
            address: announcement.link_address,
        }
    }
}
