//! A demo of a whole site of the platform on this machine, with callers and faults.
//!
//! The demo starts stand-ins for the store and for minions of different quality, three entries and
//! a sidecar for each minion. While callers submit jobs to three queues, a minion delays and loses
//! answers, a sidecar is killed, the store stops answering, a new configuration is written and a
//! minion drains. Then the demo checks the observations of callers and minions against the
//! guarantees.

mod queue_report;
mod report;
mod run;

pub use queue_report::QueueReport;
pub use report::DemoReport;
pub use run::{DemoOptions, run};
