//! The parts of the daemon `knapweedrilld`, as a library that its tests can reach.

pub mod command;
pub mod control;
pub mod dispatch;
pub mod http;
pub mod minion_calls;
pub mod platform_log;
pub mod process;
pub mod settings;
pub mod telemetry;
