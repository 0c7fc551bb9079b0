//! The options of the demo.

use std::time::Duration;

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;

/// Builds the options of the demo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoOptions {
    pub(super) duration: Duration,
    pub(super) seed: u64,
}

impl DemoOptions {
    /// Creates options with callers that submit jobs for 20 s, and seed 1.
    pub fn new() -> Self {
        Self {
            duration: Duration::from_secs(DEFAULT_SECONDS),
            seed: DEFAULT_SEED,
        }
    }

    /// Sets for how many seconds callers submit jobs.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.duration = Duration::from_secs(seconds);
        self
    }

    /// Sets the seed of the job sizes, run times and pauses of the workload.
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
