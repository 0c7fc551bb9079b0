//! The entries that share a minion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::common::Incarnation;

/// How long after its last order an entry counts: as long as a usual run of the longest kind of task
/// takes, so that the count does not change with each run.
const COUNTED_FOR: Duration = Duration::from_secs(1);

/// The entries that have ordered runs of late.
#[derive(Debug, Default)]
pub(super) struct Sharers {
    ordered_at: HashMap<Incarnation, Instant>,
}

impl Sharers {
    /// Takes in that an entry has ordered a run.
    pub(super) fn note(&mut self, entry: Incarnation, now: Instant) {
        self.ordered_at.insert(entry, now);
    }

    /// Forgets the entries that have ordered nothing of late.
    pub(super) fn forget_before(&mut self, now: Instant) {
        self.ordered_at
            .retain(|_, at| now.saturating_duration_since(*at) < COUNTED_FOR);
    }

    /// Returns how many there are.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.ordered_at.len()).unwrap_or(u32::MAX)
    }
}
