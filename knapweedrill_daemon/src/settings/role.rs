//! What a process does.

use std::net::SocketAddr;

use knapweedrill::common::ServiceName;
use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

/// What a process does, with the settings of that role alone.
#[value]
pub enum RoleSettings {
    /// The process takes callers' requests and owns their jobs.
    Entry(LogServiceSettings),
    /// The process runs beside a minion and is the only one to call it.
    Sidecar(MinionSettings),
}

/// Where an entry finds the log service of the platform.
#[value]
pub struct LogServiceSettings {
    /// The address of its HTTP interface.
    pub address: SocketAddr,
}

/// The minion of a sidecar.
#[value]
pub struct MinionSettings {
    /// The service that the minion belongs to.
    pub service: ServiceName,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum RoleName {
    Entry,
    Sidecar,
}

pub(super) const ROLE_CHOICES: [(&str, RoleName); 2] =
    [("entry", RoleName::Entry), ("sidecar", RoleName::Sidecar)];

pub(super) fn read(reader: &mut IniReader, role: Option<RoleName>) -> Option<RoleSettings> {
    let Some(role) = role else {
        // Without a role, neither section can be called unknown.
        reader.section("log");
        reader.section("minion");
        return None;
    };
    match role {
        RoleName::Entry => {
            let mut section = reader.section("log");
            let address = section.address("address");
            section.finish();
            let address = address?;
            Some(RoleSettings::Entry(LogServiceSettings { address }))
        }
        RoleName::Sidecar => {
            let mut section = reader.section("minion");
            let service = section.name("service");
            section.finish();
            let service = service?;
            Some(RoleSettings::Sidecar(MinionSettings { service }))
        }
    }
}
