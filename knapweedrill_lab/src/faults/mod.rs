//! Failure cases: real processes under load, a fault, and the checker at the end.
//!
//! A case starts a cluster with callers that submit jobs all the time, makes its fault happen, and
//! stops the callers. What callers, minions and processes saw makes up the history.

mod call_plan;
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

pub use call_plan::CallPlan;
pub use callers::Callers;
pub use fault_case::{FaultCase, Seed};
pub use fault_report::FaultReport;
pub use fault_run::FaultRun;

/// How long a process stands still: longer than every timeout of the system.
const FREEZE: std::time::Duration = std::time::Duration::from_secs(8);
