//! The parts of the daemon `knapweedrilld`, as a library that its tests can reach.

pub mod http;
pub mod telemetry;
