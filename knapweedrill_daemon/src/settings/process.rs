//! The name of a process and its location.

use knapweedrill::common::ProcessName;
use knapweedrill::failure_domain::FailureDomainName;
use knapweedrill::ini::IniReader;
use knapweedrill::worker::WorkerName;
use knapweedrill_derive::value;

use super::role::{ROLE_CHOICES, RoleName};

/// The name of a process and its location, the section `[process]`.
#[value]
pub struct ProcessSettings {
    /// The name of the process in logs, metrics and operator tools.
    pub name: ProcessName,
    /// The worker that the process runs on.
    pub worker: WorkerName,
    /// The failure domain of the worker.
    pub failure_domain: FailureDomainName,
}

pub(super) fn read(reader: &mut IniReader) -> (Option<ProcessSettings>, Option<RoleName>) {
    let mut section = reader.section("process");
    let role = section.choice("role", &ROLE_CHOICES);
    let name = section.name("name");
    let worker = section.name("worker");
    let failure_domain = section.name("failure_domain");
    section.finish();
    let process = match (name, worker, failure_domain) {
        (Some(name), Some(worker), Some(failure_domain)) => Some(ProcessSettings {
            name,
            worker,
            failure_domain,
        }),
        _ => None,
    };
    (process, role)
}
