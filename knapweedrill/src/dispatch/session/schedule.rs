//! The timer queue of sessions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

/// A queue of the times at which sessions have to be polled, earliest first.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    dues: BinaryHeap<Reverse<(Instant, SocketAddr)>>,
}

impl Schedule {
    /// Adds a time at which to poll a session.
    ///
    /// Entries that the session already has stay in the queue; the caller has to recognise and
    /// skip outdated ones.
    pub(super) fn add(&mut self, due: Instant, address: SocketAddr) {
        self.dues.push(Reverse((due, address)));
    }

    /// Returns the earliest due time.
    pub(super) fn next(&self) -> Option<Instant> {
        self.dues.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the sessions that are due at `now`.
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
