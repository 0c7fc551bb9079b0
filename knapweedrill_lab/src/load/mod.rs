//! The load generator: submits a seeded plan of jobs to real processes and reports measurements.
//!
//! Arrivals are open-loop: a job is due at its planned time whether or not earlier jobs have been
//! answered, and its response time is measured from that time. This avoids coordinated omission,
//! in which a stalled system delays its callers and thereby hides the stall.

mod callers;
mod counters;
mod fault;
mod observed_job;
mod options;
mod plan;
mod report;
mod run;
mod scenario;
mod usage;

pub use fault::{Fault, ScheduledFault};
pub use options::{LoadOptions, policy_from_name, policy_name};
pub use plan::{FlowPlan, Plan, PlannedJob, PlannedTask, WorkDistribution};
pub use report::{
    FlowReport, LoadReport, MessageReport, Percentiles, RefusalReport, RoleUsageReport,
};
pub use run::run;
pub use scenario::Scenario;
