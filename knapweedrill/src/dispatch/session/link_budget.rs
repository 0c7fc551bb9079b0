//! The bytes that a process may send over its link.

use std::time::{Duration, Instant};

/// The part of the link that the budget gives out, in thousandths. The rest is for calls of the store
/// and gossip.
const LINK_SHARE_PERMILLE: u64 = 970;

/// The time for which bytes that were not sent may be sent later, at once. Longer than the event
/// loop of an entry waits between two placements.
const BURST_TIME: Duration = Duration::from_millis(25);

/// The bytes that may be sent at once after a pause on any link; the orders of several tasks.
const BURST_BYTES_MIN: i64 = 16 * 1_024;

/// The shortest time after which the budget is filled again.
const FILL_INTERVAL_MIN: Duration = Duration::from_millis(1);

/// The longest time for which an overdrawn budget stays empty. Repeats and stop orders are sent
/// without regard to the budget.
const DEBT_TIME_MAX: Duration = Duration::from_millis(250);

/// The bytes of a datagram besides its messages: the header of the session, and those of UDP, IP and
/// Ethernet.
const DATAGRAM_OVERHEAD_BYTES: u64 = 90;

/// The bytes of an answer to a caller: its head and body, the acknowledgement of the request, and the
/// headers of TCP, IP and Ethernet of both.
const ANSWER_BYTES: u64 = 360;

/// The budget of a link with a rate. It fills at that rate; datagrams and answers take from it.
#[derive(Debug, Clone, Copy)]
struct RateBudget {
    bytes_per_s: u64,
    /// The bytes that may be sent now; negative if more have been sent.
    available_bytes: i64,
    filled_at: Option<Instant>,
}

/// The bytes that a process may send over its link; unlimited if the rate is unknown.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkBudget {
    rate: Option<RateBudget>,
}

impl LinkBudget {
    /// Creates the budget for a link with a rate in bytes a second.
    pub(super) fn new(link_bytes_per_s: Option<u64>) -> Self {
        let rate = link_bytes_per_s.map(|bytes_per_s| RateBudget {
            bytes_per_s: (bytes_per_s.saturating_mul(LINK_SHARE_PERMILLE) / 1_000).max(1),
            available_bytes: 0,
            filled_at: None,
        });
        Self { rate }
    }

    /// Adds the bytes that the link has carried since the last call.
    pub(super) fn fill(&mut self, now: Instant) {
        if let Some(rate) = &mut self.rate {
            rate.fill(now);
        }
    }

    /// Takes the bytes of a datagram besides its messages.
    pub(super) fn spend_datagram(&mut self) {
        self.spend(DATAGRAM_OVERHEAD_BYTES);
    }

    /// Takes the bytes of an answer to a caller.
    pub(super) fn spend_answer(&mut self) {
        self.spend(ANSWER_BYTES);
    }

    /// Takes bytes, such as those of a message without its datagram.
    pub(super) fn spend(&mut self, bytes: u64) {
        if let Some(rate) = &mut self.rate {
            let available = rate.available_bytes.saturating_sub_unsigned(bytes);
            rate.available_bytes = available.max(-rate.bytes_in(DEBT_TIME_MAX));
        }
    }

    /// Returns whether the link can take a start order without letting it wait.
    pub(super) fn has_room(&self) -> bool {
        self.rate.is_none_or(|rate| rate.available_bytes > 0)
    }

    /// Returns how long it takes until so many bytes more have been sent.
    pub(super) fn delay(&self, bytes: u64) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let overdrawn_bytes = rate.available_bytes.min(0).unsigned_abs();
        let missing_bytes = bytes.saturating_add(overdrawn_bytes);
        Duration::from_millis(missing_bytes.saturating_mul(1_000) / rate.bytes_per_s)
    }
}

impl RateBudget {
    fn fill(&mut self, now: Instant) {
        let filled_at = *self.filled_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(filled_at);
        if elapsed < FILL_INTERVAL_MIN {
            return;
        }
        self.filled_at = Some(now);
        let burst_bytes = self.bytes_in(BURST_TIME).max(BURST_BYTES_MIN);
        self.available_bytes = self
            .available_bytes
            .saturating_add(self.bytes_in(elapsed))
            .min(burst_bytes);
    }

    /// Returns the number of bytes that the link carries in a time.
    fn bytes_in(&self, time: Duration) -> i64 {
        let bytes = u128::from(self.bytes_per_s) * time.as_micros() / 1_000_000;
        i64::try_from(bytes).unwrap_or(i64::MAX)
    }
}
