//! The announcement of a minion.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::MinionState;
use crate::common::{Incarnation, ProcessName, ServiceName};
use crate::failure_domain::FailureDomainName;
use crate::worker::WorkerName;

/// The properties of a minion that its sidecar announces to the entries.
#[message]
pub struct Announcement {
    /// The name of the sidecar.
    pub name: ProcessName,
    /// The incarnation of the sidecar.
    pub sidecar: Incarnation,
    /// The address at which the sidecar accepts links.
    pub link_address: SocketAddr,
    /// The address of the sidecar's HTTP interface.
    pub http_address: SocketAddr,
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The worker that the minion runs on.
    pub worker: WorkerName,
    /// The failure domain of the worker.
    pub failure_domain: FailureDomainName,
    /// The number of tasks that the minion runs concurrently.
    pub slots: u32,
    /// The speed that the minion claims, in percent of the reference minion; 0 for no claim.
    pub speed_hint_percent: u32,
    /// Whether the minion accepts new work.
    pub state: MinionState,
}
