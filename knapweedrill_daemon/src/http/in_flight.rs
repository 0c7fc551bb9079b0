//! Bounded counts of what is going on.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts what is going on, up to a bound.
#[derive(Debug)]
pub(super) struct InFlight {
    count: AtomicUsize,
    max_count: usize,
}

/// One place in a bounded count; given back when dropped.
#[derive(Debug)]
pub(super) struct Place {
    in_flight: Arc<InFlight>,
}

impl InFlight {
    /// Creates a count that has `max_count` places.
    pub(super) fn new(max_count: usize) -> Arc<Self> {
        Arc::new(Self {
            count: AtomicUsize::new(0),
            max_count,
        })
    }

    /// Takes a place, if one is left.
    pub(super) fn enter(self: &Arc<Self>) -> Option<Place> {
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        // The place exists before the check, so that a refusal gives it back as well.
        let place = Place {
            in_flight: Arc::clone(self),
        };
        (before < self.max_count).then_some(place)
    }

    /// Returns how many places are taken.
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.in_flight.count.fetch_sub(1, Ordering::AcqRel);
    }
}
