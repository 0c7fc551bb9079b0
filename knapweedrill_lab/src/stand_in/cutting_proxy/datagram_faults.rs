//! What goes wrong with datagrams.

use std::time::Duration;

/// What goes wrong with datagrams that pass a proxy; a builder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramFaults {
    pub(super) drop_percent: u8,
    pub(super) swallows_clients: bool,
    pub(super) swallows_answers: bool,
    pub(super) duplicate_percent: u8,
    pub(super) reorder_percent: u8,
    pub(super) delay: Duration,
    pub(super) reorder_delay: Duration,
}

impl DatagramFaults {
    /// Creates a set of faults in which nothing goes wrong.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many datagrams in a hundred are dropped.
    pub fn drop_percent(mut self, percent: u8) -> Self {
        self.drop_percent = percent;
        self
    }

    /// Drops all that clients send, and none of the answers.
    pub fn swallow_clients(mut self) -> Self {
        self.swallows_clients = true;
        self
    }

    /// Drops all answers, and nothing that clients send.
    pub fn swallow_answers(mut self) -> Self {
        self.swallows_answers = true;
        self
    }

    /// Sets how many datagrams in a hundred arrive twice.
    pub fn duplicate_percent(mut self, percent: u8) -> Self {
        self.duplicate_percent = percent;
        self
    }

    /// Sets the delay of every datagram.
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets how many datagrams in a hundred are delayed by `delay` more, behind later ones.
    pub fn reorder(mut self, percent: u8, delay: Duration) -> Self {
        self.reorder_percent = percent;
        self.reorder_delay = delay;
        self
    }
}
