//! Entry and sidecar processes on the platform. The main thread owns the state and runs the event
//! loop, the traffic thread handles HTTP, and a third thread receives datagrams.

mod client_limits;
mod entry;
mod entry_http;
mod http;
mod metrics;
mod process;
mod process_clock;
mod process_signals;
mod settings_watcher;
mod shared_stream;
mod sidecar;
mod sidecar_http;
mod store;
mod traffic_probe;

use std::process::ExitCode;

pub use client_limits::{
    BudgetCounts, BudgetLimits, BudgetUsage, CloseCause, ConnectionId, Decision, MemoryBudget,
    PortKind,
};
use process::Process;
pub use process_clock::{ProcessClock, time_since_boot};

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchRole {
    /// Accepts jobs from callers and places their tasks.
    Entry,
    /// Starts and stops runs at the minion on its VM.
    Sidecar,
}

/// Runs a process until it is asked to stop or fails.
pub fn run(role: DispatchRole) -> ExitCode {
    let outcome = Process::start(role).and_then(|process| match role {
        DispatchRole::Entry => entry::run(process),
        DispatchRole::Sidecar => sidecar::run(process),
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:? = error; "process failed");
            eprintln!("knapweedrilld: {error:?}");
            ExitCode::FAILURE
        }
    }
}
