//! Heartbeats to send.

use std::net::SocketAddr;

use knapweedrill_derive::value;

use crate::common::{HybridTime, Incarnation};
use crate::contract::ConfigurationVersion;
use crate::message::{Datagram, SlotReport};

/// A datagram to send, and where to.
#[value]
pub struct Outgoing {
    /// The receivers; all get the same datagram.
    pub to: Vec<SocketAddr>,
    /// The datagram.
    pub datagram: Datagram,
}

/// What an entry tells with its heartbeats.
#[value]
pub struct EntryNews {
    /// The entry's clock.
    pub clock: HybridTime,
    /// The configuration that it has in force.
    pub configuration: Option<ConfigurationVersion>,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Stopped entries whose tokens it answers for.
    pub answers_for: Vec<Incarnation>,
}

/// What a sidecar tells with its heartbeats, besides the announcement.
#[value]
pub struct SidecarNews {
    /// The sidecar's clock.
    pub clock: HybridTime,
    /// The configuration that it has in force.
    pub configuration: Option<ConfigurationVersion>,
    /// The state of the slots.
    pub report: SlotReport,
}
