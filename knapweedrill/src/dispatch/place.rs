//! Where a sidecar is, and what its minion offers.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::Room;
use super::message::MinionProfile;
use crate::common::ServiceName;

/// Where a sidecar is, and what its minion offers.
#[message]
pub struct Place {
    /// The name of the VM, which stays when its address changes.
    pub vm: String,
    /// The address of the sidecar.
    pub address: SocketAddr,
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// What the minion offers in all.
    pub capacity: Room,
    /// The minion's kind, its rack and whatever else marks it.
    pub labels: Vec<String>,
}

impl Place {
    /// Returns whether this is what a minion offers.
    pub fn is_of(&self, minion: &MinionProfile) -> bool {
        self.service == minion.service
            && self.capacity == minion.capacity
            && self.labels == minion.labels
    }

    /// Returns whether the minion has a label.
    pub fn has_label(&self, wanted: &str) -> bool {
        self.labels.iter().any(|label| label == wanted)
    }
}
