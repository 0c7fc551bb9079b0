//! A whole site of the platform on this machine, with callers and faults.
//!
//! The demo starts the stand-ins of the store and of minions of unlike condition, three entries
//! and a sidecar for each minion. While callers submit jobs of three kinds, a minion loses
//! answers, a sidecar is killed, an entry is stopped as planned, the store goes down and a
//! configuration comes. Then it holds what callers and minions saw against the promises.

mod report;
mod run;

pub use report::{DemoReport, QueueLine};
pub use run::{DemoOptions, run};
