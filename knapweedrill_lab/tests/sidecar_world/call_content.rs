use std::time::Duration;

use knapweedrill::dispatch::sidecar::{HoldCall, StartCall, StopCall};

/// What a call asks the minion to do.
#[derive(Debug, Clone)]
pub(super) enum CallContent {
    Start(StartCall),
    Stop(StopCall),
    Hold(HoldCall),
}

impl CallContent {
    /// Returns the time after which the call counts as unanswered.
    pub(super) fn timeout(&self) -> Duration {
        match self {
            Self::Start(call) => call.timeout,
            Self::Stop(call) => call.timeout,
            Self::Hold(call) => call.timeout + Duration::from_millis(call.wait_ms),
        }
    }
}
