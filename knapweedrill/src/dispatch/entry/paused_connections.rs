//! Connections of callers across a pause of the process.

use std::time::{Duration, Instant};

/// The connections on which requests may still arrive that were sent during a long pause.
///
/// A sender doubles its retransmission delay until it is acknowledged. What it sent during the
/// pause arrives within the length of the pause after its end, and the end of the connection may
/// follow later still.
#[derive(Debug, Clone, Copy)]
pub(super) struct PausedConnections {
    /// The latest accept of such a connection. Those that waited to be accepted count as well.
    accepted_until: Instant,
    /// Until when such requests may arrive.
    arrive_until: Instant,
}

impl PausedConnections {
    /// Creates the connections of a pause that has just ended, of which the last is accepted at
    /// `accepted_until`.
    pub(super) fn new(pause: Duration, accepted_until: Instant, now: Instant) -> Self {
        Self {
            accepted_until,
            arrive_until: accepted_until.max(now + pause),
        }
    }

    /// Returns the connections of two pauses.
    pub(super) fn join(self, other: Self) -> Self {
        Self {
            accepted_until: self.accepted_until.max(other.accepted_until),
            arrive_until: self.arrive_until.max(other.arrive_until),
        }
    }

    /// Returns whether a request that arrives now on a connection that was accepted at `accepted_at`
    /// may have been sent during the pause.
    pub(super) fn contains(&self, accepted_at: Instant, now: Instant) -> bool {
        now < self.arrive_until && accepted_at < self.accepted_until
    }
}
