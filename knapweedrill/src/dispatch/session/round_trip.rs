//! The estimate of the round trip of a session.

use std::time::Duration;

/// The smoothed round trip and its variation, as in RFC 6298.
#[derive(Debug, Default)]
pub(super) struct RoundTrip {
    smoothed: Option<Duration>,
    variation: Duration,
}

impl RoundTrip {
    /// Records the time from the first transmission of a message to its acknowledgement.
    pub(super) fn record(&mut self, sample: Duration) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(sample);
            self.variation = sample / 2;
            return;
        };
        self.variation = (self.variation * 3 + smoothed.abs_diff(sample)) / 4;
        self.smoothed = Some((smoothed * 7 + sample) / 8);
    }

    /// Returns the smoothed round trip; zero before the first sample.
    pub(super) fn smoothed(&self) -> Duration {
        self.smoothed.unwrap_or_default()
    }

    /// Returns the time after which a message without an acknowledgement is likely to be lost.
    pub(super) fn timeout(&self, timeout_min: Duration) -> Duration {
        (self.smoothed() + self.variation * 4).max(timeout_min)
    }
}
