//! A demo of a complete system on this machine, with a workload modelled on that of its two users.
//!
//! The demo starts the log, three entries in three failure domains and ten minions of different
//! speeds with their sidecars. While callers submit jobs, two operators change the configuration
//! concurrently, a minion leaves and an entry stops as planned. The checker then verifies the
//! guarantees of the system against the observed history.

mod caller;
mod configuration;
mod messages;
mod observer;
mod options;
mod report;
mod response;
mod run;
mod scenario;
mod shares;
mod workload;

pub use messages::MessageCounts;
pub use options::DemoOptions;
pub use report::{DemoReport, RuleSummary};
pub use response::ResponseSummary;
pub use run::run;
pub use shares::TeamShare;
