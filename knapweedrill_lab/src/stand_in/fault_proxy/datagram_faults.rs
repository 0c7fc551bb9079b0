//! The faults that the datagram proxy injects.

use std::time::Duration;

/// A builder for the faults that a proxy injects into datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramFaults {
    pub(super) drop_percent: u8,
    pub(super) drops_requests: bool,
    pub(super) drops_responses: bool,
    pub(super) duplicate_percent: u8,
    pub(super) reorder_percent: u8,
    pub(super) delay: Duration,
    pub(super) reorder_delay: Duration,
}

impl DatagramFaults {
    /// Creates an empty set of faults: all datagrams are forwarded at once.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the percentage of datagrams that are dropped.
    pub fn drop_percent(mut self, percent: u8) -> Self {
        self.drop_percent = percent;
        self
    }

    /// Drops all datagrams from clients, and none of the responses.
    pub fn drop_requests(mut self) -> Self {
        self.drops_requests = true;
        self
    }

    /// Drops all responses, and no datagrams from clients.
    pub fn drop_responses(mut self) -> Self {
        self.drops_responses = true;
        self
    }

    /// Sets the percentage of datagrams that are delivered twice.
    pub fn duplicate_percent(mut self, percent: u8) -> Self {
        self.duplicate_percent = percent;
        self
    }

    /// Sets the delay of every datagram.
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the percentage of datagrams that are delayed by another `delay`, so that later ones
    /// overtake them.
    pub fn reorder(mut self, percent: u8, delay: Duration) -> Self {
        self.reorder_percent = percent;
        self.reorder_delay = delay;
        self
    }
}
