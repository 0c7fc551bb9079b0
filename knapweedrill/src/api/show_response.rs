//! The response body of `GET /v1/show`.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use crate::common::{ProcessName, ServiceName, TeamName};
use crate::contract::ConfigurationVersion;
use crate::failure_domain::FailureDomainName;
use crate::minion::MinionState;
use crate::worker::WorkerName;

/// The response body of `GET /v1/show`: the state of the system as one process sees it.
#[message]
pub struct ShowResponse {
    /// The process that responds.
    pub process: ProcessName,
    /// The version of the configuration in force at that process.
    pub configuration_version: Option<ConfigurationVersion>,
    /// The configured services.
    pub services: Vec<ServiceView>,
    /// The known minions.
    pub minions: Vec<MinionView>,
    /// The configured teams.
    pub teams: Vec<TeamView>,
    /// The known entries, including the process that responds if it is an entry.
    pub entries: Vec<EntryView>,
}

/// The state of a service.
#[message]
pub struct ServiceView {
    /// The name of the service.
    pub name: ServiceName,
    /// The number of minions that accept new tasks.
    pub serving_count: u32,
    /// The number of known minions.
    pub minion_count: u32,
    /// The total slots of the minions that accept new tasks.
    pub slot_count: u32,
}

/// The state of a minion.
#[message]
pub struct MinionView {
    /// The name of its sidecar.
    pub sidecar: ProcessName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The worker that it runs on.
    pub worker: WorkerName,
    /// The failure domain of the worker.
    pub failure_domain: FailureDomainName,
    /// The address of the sidecar's HTTP interface.
    pub http_address: SocketAddr,
    /// Whether the minion accepts new tasks.
    pub state: MinionState,
    /// Whether outlier detection has ejected the minion.
    pub is_ejected: bool,
    /// Whether the failure detector suspects its sidecar of having failed.
    pub is_suspect: bool,
    /// How many tasks the minion runs concurrently.
    pub slot_count: u32,
    /// How many slots are in use, as far as the responding process knows.
    pub busy_count: u32,
    /// The measured speed in per cent of that of a minion of speed 1.
    pub speed_percent: u32,
    /// The version of the configuration in force at its sidecar.
    pub configuration_version: Option<ConfigurationVersion>,
}

/// The usage of a team.
#[message]
pub struct TeamView {
    /// The name of the team.
    pub name: TeamName,
    /// The guaranteed share of each service's slot time, in per cent.
    pub share_percent: u32,
    /// The largest part of each service's slot time that the team may use, in per cent.
    pub cap_percent: u32,
    /// The part of the slot time that the team currently uses, in per cent.
    pub used_percent: u32,
    /// The number of tasks queued at the responding process.
    pub queued_count: u32,
    /// The number of tasks that the responding process has dispatched.
    pub running_count: u32,
}

/// The state of an entry.
#[message]
pub struct EntryView {
    /// The name of the entry.
    pub name: ProcessName,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
    /// The address at which the entry accepts links.
    pub link_address: SocketAddr,
    /// The failure domain of the entry.
    pub failure_domain: FailureDomainName,
    /// Whether the failure detector suspects the entry of having failed.
    pub is_suspect: bool,
    /// Whether the entry is shutting down.
    pub is_stopping: bool,
    /// The version of the configuration in force there.
    pub configuration_version: Option<ConfigurationVersion>,
}
