//! A randomized soak test that injects faults into real processes on this machine.
//!
//! A seed determines the kind, target, start and duration of the faults, which overlap. Callers
//! keep their connections open and resubmit jobs, like those of the platform. The guarantees are
//! checked during the run, from what callers and minions observe. A fault-free phase at the end
//! checks the guarantees that hold then.

mod callers;
mod checks;
mod fault;
mod fault_injection;
mod options;
mod report;
mod run;
mod scheduled_fault;

pub use callers::{Attempt, SubmittedJob};
pub use checks::{ObservedRun, check_fault_free_phase, check_responses};
pub use options::SoakOptions;
pub use report::SoakReport;
pub use run::run;
