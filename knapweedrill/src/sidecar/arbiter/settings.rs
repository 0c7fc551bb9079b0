//! Settings of the slot arbiter.

use std::time::Duration;

/// Capacity that an arbiter allocates and the lifetime of its credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArbiterSettings {
    /// The number of tasks that the minion runs concurrently.
    pub slot_count: u32,
    /// The number of tasks that may be queued at the sidecar while all slots are occupied.
    pub prefetch_count: u32,
    /// How long a credit stays valid.
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
