//! Timeouts of calls to the minion, derived from its response times.

use std::time::{Duration, Instant};

/// The shortest timeout while no call is lost. Responses take one or two milliseconds, but some are
/// delayed by other work, and giving up on one costs a connection.
const TIMEOUT_USUAL: Duration = Duration::from_millis(40);

/// The shortest timeout while many calls are lost. An urgent task can wait for less than 100 ms, so
/// that several of its orders may be lost.
const TIMEOUT_MIN: Duration = Duration::from_millis(10);

/// The longest timeout. Leaves time for several calls within a lease.
const TIMEOUT_MAX: Duration = Duration::from_millis(80);

/// The share of lost calls, in thousandths, that halves the shortest timeout.
const HALVING_LOSS_PERMILLE: u32 = 80;

/// Divisor of the moving average of the share of lost calls.
const LOSS_DIVISOR: u32 = 32;

/// Divisors of the moving averages of the response time and of its deviation, and the number of
/// deviations in a timeout, as in the retransmission timer of TCP (RFC 6298).
const SMOOTHED_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;
const DEVIATIONS_IN_TIMEOUT: u32 = 4;

/// Divisor of the time without any answer that gives the timeout while the minion is silent.
const SILENCE_DIVISOR: u32 = 3;

/// Estimates how long the minion takes to respond, and decides how long to wait for a response.
///
/// The timeout follows the smoothed response time and its deviation; its lower bound sinks with the
/// share of calls that are lost. It grows with the time for which no call was answered, so that a slow
/// minion is not flooded with repeated calls, and returns to the estimate with the first response.
/// Each response arrives on the connection of its call, so that those to repeated calls are samples
/// as well.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseTimes {
    /// The smoothed response time and its smoothed deviation.
    estimate: Option<(Duration, Duration)>,
    /// The recent share of calls without a response, in millionths.
    loss_ppm: u32,
    /// When the first of the calls without a response since the last response was sent, or when the
    /// minion should have responded if it may delay its response.
    unanswered_since: Option<Instant>,
}

impl ResponseTimes {
    /// Returns how long to wait for a response that the minion does not delay on purpose.
    pub fn timeout(&self, now: Instant) -> Duration {
        let (smoothed, deviation) = self.estimate.unwrap_or_default();
        let estimate = smoothed + deviation * DEVIATIONS_IN_TIMEOUT;
        let silence = self.unanswered_for(now) / SILENCE_DIVISOR;
        let lower_bound =
            TIMEOUT_USUAL * HALVING_LOSS_PERMILLE / (HALVING_LOSS_PERMILLE + self.loss_ppm / 1_000);
        estimate
            .max(silence)
            .max(lower_bound.max(TIMEOUT_MIN))
            .min(TIMEOUT_MAX)
    }

    /// Returns for how long the minion has not responded to any call; zero after a response.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.unanswered_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records a response and how long the minion took for it.
    pub fn record_response(&mut self, response_time: Duration) {
        self.record_sign_of_life();
        let Some((smoothed, deviation)) = &mut self.estimate else {
            self.estimate = Some((response_time, response_time / 2));
            return;
        };
        let error = response_time.abs_diff(*smoothed);
        *deviation = *deviation - *deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
        *smoothed = *smoothed - *smoothed / SMOOTHED_DIVISOR + response_time / SMOOTHED_DIVISOR;
    }

    /// Records a response that the minion may have delayed on purpose.
    pub fn record_sign_of_life(&mut self) {
        self.loss_ppm -= self.loss_ppm / LOSS_DIVISOR;
        self.unanswered_since = None;
    }

    /// Records that a call has no response, which was expected from `expected_from` on.
    pub fn record_loss(&mut self, expected_from: Instant) {
        // Losses in a row count once: a minion that stands still for a moment loses nothing.
        if self.unanswered_since.is_none() {
            self.loss_ppm += (1_000_000 - self.loss_ppm) / LOSS_DIVISOR;
        }
        let since = self.unanswered_since.get_or_insert(expected_from);
        *since = expected_from.min(*since);
    }
}
