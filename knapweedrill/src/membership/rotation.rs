//! Taking turns.

/// Takes some of many, so that each has its turn.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    position: usize,
}

impl Rotation {
    /// Returns up to `count` of the items, starting behind those of the call before.
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
