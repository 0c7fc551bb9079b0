//! A process from its start to its planned stop.

mod common;
mod entry;
mod sidecar;
mod signals;

use crate::settings::{RoleSettings, Settings};
use common::Common;

/// Runs a process until its planned stop has ended.
///
/// # Errors
///
/// Fails if an address can't be bound or a thread can't be started.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let common = Common::start(&settings)?;
    match settings.role.clone() {
        RoleSettings::Entry(log) => entry::run(settings, common, &log),
        RoleSettings::Sidecar(minion) => sidecar::run(settings, common, minion),
    }
}
