//! What the control thread lets other threads know.

use std::sync::{Mutex, MutexGuard, PoisonError};

use knapweedrill::contract::OwnerToken;

/// What the control thread lets the threads of the HTTP interface know.
#[derive(Debug, Default)]
pub struct Published {
    state: Mutex<PublishedState>,
}

#[derive(Debug, Default, Clone, Copy)]
struct PublishedState {
    token: Option<OwnerToken>,
    is_ready: bool,
}

impl Published {
    /// Creates a state of a process that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes the token for new jobs, and whether the process takes callers' requests.
    pub fn set(&self, token: Option<OwnerToken>, is_ready: bool) {
        *self.lock() = PublishedState { token, is_ready };
    }

    /// Returns the token for new jobs, if the process hands one out.
    pub fn token(&self) -> Option<OwnerToken> {
        self.lock().token
    }

    /// Returns whether the process takes callers' requests.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready
    }

    fn lock(&self) -> MutexGuard<'_, PublishedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
