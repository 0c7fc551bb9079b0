//! Heartbeats over UDP.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::{Role, SlotReport};
use crate::common::{HybridTime, Incarnation, ProcessName};
use crate::contract::ConfigurationVersion;
use crate::failure_domain::FailureDomainName;
use crate::minion::Announcement;

/// One datagram.
#[message]
pub struct Datagram {
    /// The version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// The sender's run.
    pub sender: Incarnation,
    /// Rises with every datagram of the sender; a receiver drops what is older than what it has.
    pub sequence: u64,
    /// The sender's clock.
    pub clock: HybridTime,
    /// The configuration that the sender has in force.
    pub configuration: Option<ConfigurationVersion>,
    /// What is told.
    pub body: DatagramBody,
}

/// What a datagram tells.
#[message]
pub enum DatagramBody {
    /// Sidecar to entry: the minion and its load.
    Announce {
        /// The minion.
        announcement: Announcement,
        /// The state of its slots.
        report: SlotReport,
    },
    /// Entry to any process: the sender and the entries it knows.
    Entry(EntryBeat),
}

/// What an entry tells of itself and of other entries.
#[message]
pub struct EntryBeat {
    /// The sender.
    pub own: PeerAddress,
    /// Whether the sender is stopping and takes no new jobs.
    pub is_stopping: bool,
    /// Other entries that the sender knows to be alive.
    pub known: Vec<PeerAddress>,
    /// Stopped entries whose tokens the sender answers for.
    pub answers_for: Vec<Incarnation>,
}

/// Where a process can be reached.
#[message]
pub struct PeerAddress {
    /// The process's run.
    pub incarnation: Incarnation,
    /// Its name.
    pub name: ProcessName,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// The address at which it accepts links and datagrams.
    pub link_address: SocketAddr,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
}
