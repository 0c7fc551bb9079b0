//! The entries that have sessions with the sidecar.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::common::Incarnation;

/// The connected entries, and when each was last known to be alive.
///
/// Iterated in the order of the incarnations, so that what is sent does not depend on that of a hash
/// map.
#[derive(Debug, Default)]
pub(super) struct ConnectedEntries {
    alive_at: BTreeMap<Incarnation, Instant>,
}

impl ConnectedEntries {
    /// Adds an entry, unless it is connected already.
    pub(super) fn insert(&mut self, entry: Incarnation, now: Instant) {
        self.alive_at.entry(entry).or_insert(now);
    }

    pub(super) fn remove(&mut self, entry: Incarnation) {
        self.alive_at.remove(&entry);
    }

    pub(super) fn contains(&self, entry: Incarnation) -> bool {
        self.alive_at.contains_key(&entry)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.alive_at.keys().copied()
    }

    /// Records that an entry was alive at `at`.
    pub(super) fn record_alive(&mut self, entry: Incarnation, at: Instant) {
        if let Some(known) = self.alive_at.get_mut(&entry) {
            *known = at.max(*known);
        }
    }

    /// Returns the entries that were last known to be alive longer than `timeout` ago.
    pub(super) fn silent_for(&self, timeout: Duration, now: Instant) -> Vec<Incarnation> {
        self.alive_at
            .iter()
            .filter(|(_, alive_at)| now.saturating_duration_since(**alive_at) > timeout)
            .map(|(entry, _)| *entry)
            .collect()
    }
}
