//! A bounded number of places.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts places taken, up to a limit.
#[derive(Debug, Clone)]
pub(super) struct Places {
    taken: Arc<AtomicUsize>,
    max_count: usize,
}

/// A place taken; dropping it gives it back.
#[derive(Debug)]
pub(super) struct Place {
    taken: Arc<AtomicUsize>,
}

impl Places {
    pub(super) fn new(max_count: usize) -> Self {
        Self {
            taken: Arc::default(),
            max_count,
        }
    }

    /// Takes a place, unless all are taken.
    pub(super) fn take(&self) -> Option<Place> {
        let place = Place {
            taken: Arc::clone(&self.taken),
        };
        // The place is counted first, so that giving it back on refusal is right.
        let before = self.taken.fetch_add(1, Ordering::Relaxed);
        (before < self.max_count).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::Relaxed);
    }
}
