//! The role of a process and the settings that depend on it.

use std::net::SocketAddr;

use knapweedrill::common::ServiceName;
use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

/// The role of a process, with the settings that apply to that role only.
#[value]
pub enum RoleSettings {
    /// The process accepts callers' requests and owns their jobs.
    Entry(LogServiceSettings),
    /// The process runs next to a minion and is the only caller of it.
    Sidecar(MinionSettings),
}

/// The platform's log service, the section `[log]` of an entry.
#[value]
pub struct LogServiceSettings {
    /// The address of the log service's HTTP interface.
    pub address: SocketAddr,
}

/// The minion of a sidecar, the section `[minion]`.
#[value]
pub struct MinionSettings {
    /// The service that the minion belongs to.
    pub service: ServiceName,
}

/// The value of the key `role`.
#[derive(Debug, Clone, Copy)]
pub(super) enum RoleName {
    Entry,
    Sidecar,
}

pub(super) const ROLE_CHOICES: [(&str, RoleName); 2] =
    [("entry", RoleName::Entry), ("sidecar", RoleName::Sidecar)];

pub(super) fn read(reader: &mut IniReader, role: Option<RoleName>) -> Option<RoleSettings> {
    let Some(role) = role else {
        // Without a valid role, neither section is reported as unknown.
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
