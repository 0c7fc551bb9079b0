//! The service discovery record of a sidecar.

use std::net::{IpAddr, SocketAddr};

use knapweedrill_derive::message;

use super::Resources;
use super::message::MinionProfile;
use crate::common::ServiceName;

/// The maximum length of the texts of a record, in bytes. A page of such records fits into a datagram.
const TEXT_BYTES_MAX: usize = 512;

/// The length that a label takes in a datagram in addition to its text, in bytes.
const LABEL_OVERHEAD_BYTES: usize = 2;

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
    /// Returns whether the record names a VM with an address that datagrams can be sent to, and is
    /// short enough to be passed on.
    pub fn is_valid(&self) -> bool {
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        let is_unicast = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
        let label_bytes = self
            .labels
            .iter()
            .map(|label| label.len() + LABEL_OVERHEAD_BYTES)
            .sum::<usize>();
        let text_bytes = self.vm.len() + self.service.len() + label_bytes;
        let has_address = is_unicast && self.address.port() > 0;
        has_address && !self.vm.is_empty() && text_bytes <= TEXT_BYTES_MAX
    }

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
