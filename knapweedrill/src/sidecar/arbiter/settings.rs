//! Settings of the arbiter.

use std::time::Duration;

/// How much an arbiter promises beyond the slots that are free, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArbiterSettings {
    /// How many tasks the minion runs at once.
    pub slot_count: u32,
    /// How many tasks may wait at the sidecar while all slots are taken.
    pub prefetch_count: u32,
    /// How long a credit is good for.
    pub credit_lifetime: Duration,
}

impl Default for ArbiterSettings {
    fn default() -> Self {
        Self {
            slot_count: 8,
            prefetch_count: 1,
            credit_lifetime: Duration::from_millis(50),
        }
    }
}
