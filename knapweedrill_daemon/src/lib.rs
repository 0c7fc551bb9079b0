//! Implementation of the daemon `knapweedrilld`, as a library so that integration tests can use it.

pub mod command;
pub mod control;
pub mod dispatch;
pub mod http;
pub mod minion_calls;
pub mod platform_log;
pub mod process;
pub mod settings;
pub mod telemetry;
