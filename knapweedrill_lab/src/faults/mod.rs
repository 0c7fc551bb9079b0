//! Fault injection tests on real processes under load, with a consistency check at the end.
//!
//! A case starts a cluster and callers that submit jobs continuously, injects its fault and stops
//! the callers. The observations of callers, minions and processes make up the history that the
//! checker verifies.

mod caller_workload;
mod callers;
mod entry;
mod fault_case;
mod fault_report;
mod fault_run;
mod log;
mod minion;
mod network;
mod pair;
mod probe;
mod sidecar;
mod wave;

pub use caller_workload::CallerWorkload;
pub use callers::Callers;
pub use fault_case::{FaultCase, Seed};
pub use fault_report::FaultReport;
pub use fault_run::FaultRun;

/// How long a process is frozen; longer than every timeout of the system.
const FREEZE_DURATION: std::time::Duration = std::time::Duration::from_secs(8);
