//! Processes that dispatch on the platform: one thread holds the state, another one speaks HTTP,
//! and a third receives datagrams.

mod common;
mod entry;
mod entry_http;
mod http;
mod metrics;
mod settings_watch;
mod sidecar;
mod sidecar_http;
mod store;

use std::process::ExitCode;

use common::Process;

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchRole {
    /// It takes jobs from callers.
    Entry,
    /// It gives orders to the minion on its machine.
    Sidecar,
}

/// Runs a process until it is told to stop.
pub fn run(role: DispatchRole) -> ExitCode {
    let outcome = Process::start(role).and_then(|process| match role {
        DispatchRole::Entry => entry::run(process),
        DispatchRole::Sidecar => sidecar::run(process),
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:? = error; "process ended by an error");
            eprintln!("knapweedrilld: {error:?}");
            ExitCode::FAILURE
        }
    }
}
