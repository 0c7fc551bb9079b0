//! The answer of `GET /v1/events`.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use crate::common::ProcessName;
use crate::event::Event;

/// The answer of `GET /v1/events`: what a process remembers, and where to ask further.
#[message]
pub struct EventsAnswer {
    /// The process that answers.
    pub process: ProcessName,
    /// How many events it has dropped already.
    pub dropped_count: u64,
    /// Its events, the oldest first.
    pub events: Vec<Event>,
    /// The other processes that it knows.
    pub peers: Vec<Peer>,
}

/// Another process.
#[message]
#[derive(Hash)]
pub struct Peer {
    /// Its name.
    pub name: ProcessName,
    /// The address of its HTTP interface.
    pub http_address: SocketAddr,
}
