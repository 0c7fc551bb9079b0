//! Round-robin selection of heartbeat recipients and gossip.

/// Selects items round-robin across calls.
#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    position: usize,
}

impl RoundRobin {
    /// Returns up to `count` items, starting after those of the previous call.
    pub(super) fn take<T: Clone>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let count = count.min(items.len());
        let start = self.position.checked_rem(items.len()).unwrap_or(0);
        self.position = start + count;
        items
            .iter()
            .cycle()
            .skip(start)
            .take(count)
            .cloned()
            .collect()
    }
}
