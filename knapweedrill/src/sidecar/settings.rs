//! The settings of a sidecar.

use std::time::Duration;

use knapweedrill_derive::value;

/// The settings of a sidecar.
#[value]
pub struct SidecarSettings {
    pub(super) prefetch_count: u32,
    pub(super) start_memory: Duration,
    pub(super) result_memory: Duration,
    pub(super) minion_silence: Duration,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            prefetch_count: 1,
            start_memory: Duration::from_secs(300),
            result_memory: Duration::from_secs(30),
            minion_silence: Duration::from_secs(3),
        }
    }
}

impl SidecarSettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many accepted tasks may wait for a slot.
    #[must_use]
    pub fn prefetch_count(mut self, count: u32) -> Self {
        self.prefetch_count = count;
        self
    }

    /// Sets how long the sidecar remembers which tasks it started.
    #[must_use]
    pub fn start_memory(mut self, time: Duration) -> Self {
        self.start_memory = time;
        self
    }

    /// Sets how long the sidecar keeps results for owners whose session broke.
    #[must_use]
    pub fn result_memory(mut self, time: Duration) -> Self {
        self.result_memory = time;
        self
    }

    /// Sets how long a minion may be silent before it counts as absent.
    #[must_use]
    pub fn minion_silence(mut self, time: Duration) -> Self {
        self.minion_silence = time;
        self
    }
}
