//! Coordination parts of a dispatcher for sub-second tasks.
//!
//! Every part is a pure state machine: it takes an event and the current time and returns
//! actions. Sockets, threads and clocks stay with the process that embeds it, so that each part
//! can be tested with a hand-moved clock and embedded on its own.

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
