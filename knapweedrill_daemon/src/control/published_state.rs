//! State of the control thread that the HTTP threads read.

use std::sync::{Mutex, MutexGuard, PoisonError};

use knapweedrill::contract::OwnerToken;

/// A snapshot of control state, written by the control thread and read by the HTTP threads.
#[derive(Debug, Default)]
pub struct PublishedState {
    snapshot: Mutex<Snapshot>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Snapshot {
    token: Option<OwnerToken>,
    is_ready: bool,
}

impl PublishedState {
    /// Creates the state of a process that is not ready and has no owner token.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the owner token for new jobs and whether the process accepts callers' requests.
    pub fn set(&self, token: Option<OwnerToken>, is_ready: bool) {
        *self.lock() = Snapshot { token, is_ready };
    }

    /// Returns the owner token for new jobs; `None` if the process accepts none.
    pub fn token(&self) -> Option<OwnerToken> {
        self.lock().token
    }

    /// Returns whether the process accepts callers' requests; the readiness endpoint reports it.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
