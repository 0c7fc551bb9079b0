//! The response body of `GET /v1/events`.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use crate::common::ProcessName;
use crate::event::Event;

/// The response body of `GET /v1/events`: the events that a process retains, and its peers.
///
/// Each process returns its own events only, so a client follows `peers` to query the others.
#[message]
pub struct EventsResponse {
    /// The process that responds.
    pub process: ProcessName,
    /// How many events the process has dropped to bound its memory.
    pub dropped_count: u64,
    /// The retained events, oldest first.
    pub events: Vec<Event>,
    /// The other processes that it knows of.
    pub peers: Vec<Peer>,
}

/// Another process whose events can be queried.
#[message]
#[derive(Hash)]
pub struct Peer {
    /// The name of the process.
    pub name: ProcessName,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
}
