//! The progress of a request towards its end.

use std::time::{Duration, Instant};

/// The received bytes from which on a rate is computed. The first bytes of a body may have been received
/// with the head and are not counted.
const RECEIVED_BYTES_MIN: u64 = 4_096;

/// How far a request has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    began_at: Instant,
    received_at: Instant,
    received_bytes: u64,
    expected_bytes: u64,
}

impl Progress {
    /// Begins a request, or a part of one, of at most `expected_bytes`.
    pub(super) fn begin(expected_bytes: u64, now: Instant) -> Self {
        Self {
            began_at: now,
            received_at: now,
            received_bytes: 0,
            expected_bytes,
        }
    }

    /// Records received bytes.
    pub(super) fn receive(&mut self, bytes: u64, now: Instant) {
        self.received_bytes += bytes;
        self.received_at = now;
    }

    /// Returns when the request began.
    pub(super) fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns the bytes received so far.
    pub(super) fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Returns how long the rest will take at the rate so far, or for how long nothing has been
    /// received if that is longer: a request that has stopped just short of its end is slow too.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.began_at);
        let stalled = now.saturating_duration_since(self.received_at);
        let left_bytes = self.expected_bytes.saturating_sub(self.received_bytes);
        let factor = left_bytes as f64 / self.received_bytes.max(RECEIVED_BYTES_MIN) as f64;
        let seconds = elapsed.as_secs_f64() * factor;
        let by_rate = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        by_rate.max(stalled)
    }
}
