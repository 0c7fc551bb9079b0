//! What a minion tells about itself.

use std::net::SocketAddr;

use knapweedrill_derive::{key, message};

use crate::common::{Incarnation, ProcessName, ServiceName};
use crate::failure_domain::FailureDomainName;
use crate::worker::WorkerName;

/// What a sidecar announces of its minion.
#[message]
pub struct Announcement {
    /// The name of the sidecar.
    pub name: ProcessName,
    /// This run of the sidecar.
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
    /// How many tasks the minion runs at once.
    pub slots: u32,
    /// The speed that the minion claims, in per cent of that of a minion of speed 1.
    pub speed_hint_percent: u32,
    /// Whether the minion takes new work.
    pub state: MinionState,
}

/// Whether a minion takes new work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum MinionState {
    /// The minion takes new work.
    Serving,
    /// The minion is leaving and takes no new work.
    Leaving,
    /// The sidecar runs, but no minion has announced itself or it went silent.
    Absent,
}
