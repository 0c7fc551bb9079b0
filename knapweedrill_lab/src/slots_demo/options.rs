//! What the demo is asked to do.

use std::time::Duration;

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;

/// What the demo is asked to do; a builder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoOptions {
    pub(super) duration: Duration,
    pub(super) seed: u64,
}

impl DemoOptions {
    /// Creates the options of a demo whose callers submit for 20 s.
    pub fn new() -> Self {
        Self {
            duration: Duration::from_secs(DEFAULT_SECONDS),
            seed: DEFAULT_SEED,
        }
    }

    /// Sets for how many seconds callers submit.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.duration = Duration::from_secs(seconds);
        self
    }

    /// Sets the seed of the sizes, run times and pauses of the workload.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self::new()
    }
}
