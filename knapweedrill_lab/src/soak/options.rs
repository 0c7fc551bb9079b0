//! How a soak runs.

use std::time::Duration;

/// How a soak runs.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// What random choices start from.
    pub seed: u64,
    /// How long faults come.
    pub duration: Duration,
    /// How many entries there are.
    pub entry_count: u8,
    /// How many minions there are, each with its sidecar.
    pub minion_count: u8,
    /// How many callers there are.
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
