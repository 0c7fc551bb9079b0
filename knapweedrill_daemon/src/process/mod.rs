//! The lifecycle of a process, from start to graceful shutdown.

mod entry;
mod runtime;
mod sidecar;
mod signals;

use crate::settings::{RoleSettings, Settings};
use runtime::ProcessRuntime;

/// Runs a process until its graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if the logger can't be installed, an address can't be bound or a thread can't
/// be started.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let runtime = ProcessRuntime::start(&settings)?;
    match settings.role.clone() {
        RoleSettings::Entry(log) => entry::run(settings, runtime, &log),
        RoleSettings::Sidecar(minion) => sidecar::run(settings, runtime, minion),
    }
}
