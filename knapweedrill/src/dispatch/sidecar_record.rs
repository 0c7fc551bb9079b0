//! The service discovery record of a sidecar.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::Resources;
use super::message::MinionProfile;
use crate::common::ServiceName;

/// The service discovery record of a sidecar: its address, and the properties of its minion.
#[message]
pub struct SidecarRecord {
    /// The name of the VM, which stays the same when the address changes.
    pub vm: String,
    /// The address of the sidecar.
    pub address: SocketAddr,
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The total resources of the minion.
    pub capacity: Resources,
    /// The labels of the minion, such as its kind and its rack.
    pub labels: Vec<String>,
}

impl SidecarRecord {
    /// Returns whether service, capacity and labels are those of a minion.
    pub fn matches_minion(&self, minion: &MinionProfile) -> bool {
        self.service == minion.service
            && self.capacity == minion.capacity
            && self.labels == minion.labels
    }

    /// Returns whether the minion has a label that equals `wanted`.
    pub fn has_label(&self, wanted: &str) -> bool {
        self.labels.iter().any(|label| label == wanted)
    }
}
