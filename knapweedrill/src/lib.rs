//! The coordination logic of a dispatcher for sub-second tasks.
//!
//! Each component is a sans-I/O state machine: it takes an event and the current time and returns
//! actions. The embedding process owns sockets, threads and clocks, so each component can be
//! tested with a simulated clock and embedded separately.

pub mod api;
pub mod common;
pub mod contract;
pub mod dispatch;
pub mod entry;
pub mod event;
pub mod failure_domain;
pub mod ini;
pub mod job;
pub mod link;
pub mod membership;
pub mod message;
pub mod minion;
pub mod sidecar;
pub mod worker;
