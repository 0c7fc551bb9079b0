//! Settings of a sidecar.

use std::time::Duration;

use knapweedrill_derive::value;

/// Prefetch, retention and timeouts of a sidecar.
#[value]
pub struct SidecarSettings {
    pub(super) prefetch_count: u32,
    pub(super) start_retention: Duration,
    pub(super) result_retention: Duration,
    pub(super) minion_silence_timeout: Duration,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            prefetch_count: 1,
            start_retention: Duration::from_secs(300),
            result_retention: Duration::from_secs(30),
            minion_silence_timeout: Duration::from_secs(3),
        }
    }
}

impl SidecarSettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many accepted tasks may be queued for a slot.
    #[must_use]
    pub fn prefetch_count(mut self, count: u32) -> Self {
        self.prefetch_count = count;
        self
    }

    /// Sets how long records of started tasks are kept after the last use of their generation.
    #[must_use]
    pub fn start_retention(mut self, retention: Duration) -> Self {
        self.start_retention = retention;
        self
    }

    /// Sets how long the sidecar retains results for owners whose session broke.
    #[must_use]
    pub fn result_retention(mut self, retention: Duration) -> Self {
        self.result_retention = retention;
        self
    }

    /// Sets how long a minion may send no notice before it counts as absent.
    #[must_use]
    pub fn minion_silence_timeout(mut self, timeout: Duration) -> Self {
        self.minion_silence_timeout = timeout;
        self
    }
}
