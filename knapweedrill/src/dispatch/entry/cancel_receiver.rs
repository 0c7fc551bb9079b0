//! What an entry has told another one about cancelled jobs.

use std::time::{Duration, Instant};

/// The delay before the first repeat of a notice, which doubles from repeat to repeat.
const REPEAT_DELAY_MIN: Duration = Duration::from_millis(40);

/// The longest delay between two repeats.
const REPEAT_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// How often an entry asks another one for the cancels that it has told others of.
const REQUEST_COUNT_MAX: u32 = 8;

/// Another entry, as a receiver of cancels.
#[derive(Debug)]
pub(super) struct CancelReceiver {
    /// The number of the first cancel that it has not acknowledged.
    pub(super) next_number: u64,
    /// Whether it has proved to be an entry. Seeds may be addresses of sidecars.
    pub(super) is_entry: bool,
    /// When the next notice may be sent; `None` if at once.
    send_at: Option<Instant>,
    delay: Duration,
    /// Whether it has told this entry of all its cancels, or is no longer asked for them.
    is_request_over: bool,
    request_at: Option<Instant>,
    request_count: u32,
}

impl CancelReceiver {
    /// Creates a receiver that has been told nothing, and that will be asked for its own cancels.
    pub(super) fn new(next_number: u64, is_entry: bool) -> Self {
        Self {
            next_number,
            is_entry,
            send_at: None,
            delay: REPEAT_DELAY_MIN,
            is_request_over: false,
            request_at: None,
            request_count: 0,
        }
    }

    /// Ends the delay before the next notice, because the receiver has been heard from.
    pub(super) fn reset_delay(&mut self) {
        self.send_at = None;
        self.delay = REPEAT_DELAY_MIN;
    }

    /// Resets the delay if repeats have been left unanswered until the receiver was heard from.
    pub(super) fn record_heard(&mut self) {
        self.is_entry = true;
        if self.delay == REPEAT_DELAY_MAX {
            self.reset_delay();
        }
    }

    /// Returns whether a notice may be sent now; if so, the next one has to wait.
    pub(super) fn take_send_permit(&mut self, now: Instant) -> bool {
        if self.send_at.is_some_and(|at| at > now) {
            return false;
        }
        self.send_at = Some(now + self.delay);
        self.delay = (2 * self.delay).min(REPEAT_DELAY_MAX);
        true
    }

    /// Returns whether it has to be asked for its cancels now.
    pub(super) fn take_request_permit(&mut self, now: Instant) -> bool {
        if self.is_request_over || self.request_at.is_some_and(|at| at > now) {
            return false;
        }
        self.request_count += 1;
        let delay = REPEAT_DELAY_MIN * 2_u32.pow(self.request_count);
        self.request_at = Some(now + delay.min(REPEAT_DELAY_MAX));
        self.is_request_over = self.request_count >= REQUEST_COUNT_MAX;
        true
    }

    /// Returns whether it is still asked for its cancels.
    pub(super) fn has_open_request(&self) -> bool {
        !self.is_request_over
    }

    /// Records that it tells this entry of all its cancels.
    pub(super) fn record_told(&mut self) {
        self.is_request_over = true;
    }
}
