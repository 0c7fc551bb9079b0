//! Limit on concurrent connections and dials.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the number of permits that are held at the same time.
#[derive(Debug, Clone)]
pub(super) struct ConcurrencyLimit {
    permit_count: Arc<AtomicUsize>,
    max_count: usize,
}

/// A permit of a [`ConcurrencyLimit`], released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    permit_count: Arc<AtomicUsize>,
}

impl ConcurrencyLimit {
    pub(super) fn new(max_count: usize) -> Self {
        Self {
            permit_count: Arc::default(),
            max_count,
        }
    }

    /// Acquires a permit, or returns `None` if the limit is reached.
    pub(super) fn try_acquire(&self) -> Option<Permit> {
        let permit = Permit {
            permit_count: Arc::clone(&self.permit_count),
        };
        // `Drop` releases the permit if the limit is exceeded, so the count is raised in any case.
        let previous_count = self.permit_count.fetch_add(1, Ordering::Relaxed);
        (previous_count < self.max_count).then_some(permit)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permit_count.fetch_sub(1, Ordering::Relaxed);
    }
}
