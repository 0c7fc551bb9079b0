use knapweedrill::dispatch::sidecar::{HoldCall, StartCall, StopCall};

/// What a call asks a minion to do.
#[derive(Debug)]
pub(super) enum CallContent {
    Start(StartCall),
    Stop(StopCall),
    Hold(HoldCall),
}
