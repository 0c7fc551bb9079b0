//! A whole system on this machine, with a sample of both users' work.
//!
//! The demo starts the log, three entries in three failure domains and ten minions of unlike
//! speed with their sidecars. While callers submit, two operators race each other, a minion
//! leaves and an entry stops as planned. The checker then holds what was observed against what
//! the system guarantees.

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
pub use report::{DemoReport, PromiseLine};
pub use response::ResponseSummary;
pub use run::run;
pub use shares::TeamShare;
