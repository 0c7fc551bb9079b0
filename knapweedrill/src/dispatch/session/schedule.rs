//! When sessions have something due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

/// The times at which sessions have something due, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    dues: BinaryHeap<Reverse<(Instant, SocketAddr)>>,
}

impl Schedule {
    /// Adds the time at which a session is to be looked at. An earlier entry of the session stays, and
    /// has to be told apart by the session itself.
    pub(super) fn add(&mut self, due: Instant, address: SocketAddr) {
        self.dues.push(Reverse((due, address)));
    }

    /// Returns the earliest time.
    pub(super) fn next(&self) -> Option<Instant> {
        self.dues.peek().map(|Reverse((due, _))| *due)
    }

    /// Returns the sessions whose time has come.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        while self.next().is_some_and(|due| due <= now) {
            if let Some(Reverse((_, address))) = self.dues.pop() {
                addresses.push(address);
            }
        }
        addresses
    }
}
