//! The load tool: seeded arrivals against real processes, and a report of what was measured.
//!
//! Arrivals are open-loop: a job is due at its planned time whether or not earlier ones have been
//! answered, and its response is counted from that time. So a stalled system can't hide its
//! stall by holding callers back (coordinated omission).

mod callers;
mod counters;
mod disturbance;
mod options;
mod outcome;
mod plan;
mod report;
mod run;
mod scenario;
mod usage;

pub use disturbance::{Disturbance, TimedDisturbance};
pub use options::{LoadOptions, policy_name, policy_named};
pub use plan::{FlowPlan, Plan, PlannedJob, PlannedTask, TaskWork};
pub use report::{
    FlowReport, LoadReport, MessageReport, RefusalReport, RoleUsageReport, TimesReport,
};
pub use run::run;
pub use scenario::Scenario;
