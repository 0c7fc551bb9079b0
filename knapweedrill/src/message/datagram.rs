//! Heartbeat datagrams over UDP.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::{Role, SlotReport};
use crate::common::{HybridTime, Incarnation, ProcessName};
use crate::contract::ConfigurationVersion;
use crate::failure_domain::FailureDomainName;
use crate::minion::Announcement;

/// A heartbeat datagram.
#[message]
pub struct Datagram {
    /// The version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// The incarnation of the sending process.
    pub sender: Incarnation,
    /// The sequence number, increasing with each datagram of the sender; a receiver drops
    /// datagrams that arrive out of order.
    pub sequence: u64,
    /// The sender's hybrid logical clock.
    pub clock: HybridTime,
    /// The version of the configuration in force at the sender.
    pub configuration: Option<ConfigurationVersion>,
    /// The content, which depends on the sender's role.
    pub body: DatagramBody,
}

/// The content of a datagram.
#[message]
pub enum DatagramBody {
    /// Sidecar to entry: the minion and its slots.
    Announce {
        /// The description of the minion.
        announcement: Announcement,
        /// The state of its slots.
        report: SlotReport,
    },
    /// Entry to any process: the sender and the other entries it knows of.
    Entry(EntryHeartbeat),
}

/// The heartbeat of an entry, with what it knows of other entries.
#[message]
pub struct EntryHeartbeat {
    /// The address of the sender.
    pub own: PeerAddress,
    /// Whether the sender is shutting down and accepts no new jobs.
    pub is_stopping: bool,
    /// Other entries that the sender considers alive.
    pub known: Vec<PeerAddress>,
    /// Stopped entries whose owner tokens the sender has taken over.
    pub answers_for: Vec<Incarnation>,
}

/// The identity and the addresses of a process.
#[message]
pub struct PeerAddress {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The name of the process.
    pub name: ProcessName,
    /// The role of the process.
    pub role: Role,
    /// The failure domain that the process runs in.
    pub failure_domain: FailureDomainName,
    /// The address at which the process accepts links and datagrams.
    pub link_address: SocketAddr,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
}
