//! The entries that currently share a minion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::common::Incarnation;

/// How long an entry is counted after its last order. Covers a typical run of the longest kind of
/// task, so that the count does not change with every run.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// The entries that have recently ordered runs.
#[derive(Debug, Default)]
pub(super) struct RecentEntries {
    last_order_at: HashMap<Incarnation, Instant>,
}

impl RecentEntries {
    /// Records that an entry has ordered a run.
    pub(super) fn record(&mut self, entry: Incarnation, now: Instant) {
        self.last_order_at.insert(entry, now);
    }

    /// Removes the entries whose last order is older than the window.
    pub(super) fn expire(&mut self, now: Instant) {
        self.last_order_at
            .retain(|_, at| now.saturating_duration_since(*at) < RECENT_WINDOW);
    }

    /// Returns the number of entries that have recently ordered runs.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.last_order_at.len()).unwrap_or(u32::MAX)
    }
}
