//! Limits on concurrent work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the number of permits that are held at the same time.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    count: AtomicUsize,
    max_count: usize,
}

/// A permit of a [`ConcurrencyLimit`], released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    limit: Arc<ConcurrencyLimit>,
}

impl ConcurrencyLimit {
    /// Creates a limit of `max_count` permits.
    pub(super) fn new(max_count: usize) -> Arc<Self> {
        Arc::new(Self {
            count: AtomicUsize::new(0),
            max_count,
        })
    }

    /// Acquires a permit, or returns `None` if the limit is reached.
    pub(super) fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let previous_count = self.count.fetch_add(1, Ordering::SeqCst);
        // `Drop` releases the permit if the limit is exceeded, so the count is raised in any case.
        let permit = Permit {
            limit: Arc::clone(self),
        };
        (previous_count < self.max_count).then_some(permit)
    }

    /// Returns the number of permits that are held.
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limit.count.fetch_sub(1, Ordering::AcqRel);
    }
}
