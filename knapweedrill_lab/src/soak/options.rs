//! The options of a soak test.

use std::time::Duration;

/// The options of a soak test.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// The seed of all random choices.
    pub seed: u64,
    /// The duration of the phase in which faults are injected.
    pub duration: Duration,
    /// The number of entries.
    pub entry_count: u8,
    /// The number of minions, each with its sidecar.
    pub minion_count: u8,
    /// The number of callers, each of which submits one job at a time.
    pub caller_count: u64,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(20),
            entry_count: 3,
            minion_count: 6,
            caller_count: 10,
        }
    }
}
