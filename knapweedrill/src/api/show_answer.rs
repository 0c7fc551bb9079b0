//! The answer of `GET /v1/show`.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use crate::common::{ProcessName, ServiceName, TeamName};
use crate::contract::ConfigurationVersion;
use crate::failure_domain::FailureDomainName;
use crate::minion::MinionState;
use crate::worker::WorkerName;

/// The answer of `GET /v1/show`: the system as one process sees it.
#[message]
pub struct ShowAnswer {
    /// The process that answers.
    pub process: ProcessName,
    /// The version of the configuration in force there.
    pub configuration_version: Option<ConfigurationVersion>,
    /// The services.
    pub services: Vec<ServiceView>,
    /// The minions.
    pub minions: Vec<MinionView>,
    /// The teams.
    pub teams: Vec<TeamView>,
    /// The entries, with the process that answers if it is one.
    pub entries: Vec<EntryView>,
}

/// A service.
#[message]
pub struct ServiceView {
    /// Its name.
    pub name: ServiceName,
    /// The minions that take new work.
    pub serving_count: u32,
    /// The minions that are known.
    pub minion_count: u32,
    /// The slots of the minions that take new work.
    pub slot_count: u32,
}

/// A minion.
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
    /// Whether it takes new work.
    pub state: MinionState,
    /// Whether it was ejected for its failures.
    pub is_ejected: bool,
    /// Whether its sidecar is suspected to be gone.
    pub is_suspect: bool,
    /// How many tasks it runs at once.
    pub slot_count: u32,
    /// How many slots are in use, as far as the process that answers knows.
    pub busy_count: u32,
    /// Its speed as measured, in per cent of that of a minion of speed 1.
    pub speed_percent: u32,
    /// The version of the configuration in force at its sidecar.
    pub configuration_version: Option<ConfigurationVersion>,
}

/// A team.
#[message]
pub struct TeamView {
    /// Its name.
    pub name: TeamName,
    /// The share that it is guaranteed, in per cent.
    pub share_percent: u32,
    /// The most that it may use, in per cent.
    pub cap_percent: u32,
    /// The part of the slot time that it uses at present, in per cent.
    pub used_percent: u32,
    /// The tasks that wait at the process that answers.
    pub queued_count: u32,
    /// The tasks that the process that answers has handed out.
    pub running_count: u32,
}

/// An entry.
#[message]
pub struct EntryView {
    /// Its name.
    pub name: ProcessName,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
    /// The address at which it accepts links.
    pub link_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// Whether it is suspected to be gone.
    pub is_suspect: bool,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// The version of the configuration in force there.
    pub configuration_version: Option<ConfigurationVersion>,
}
