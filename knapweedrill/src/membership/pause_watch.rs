//! Pauses of this process.

use std::time::{Duration, Instant};

/// Tells when this process itself was paused, so that it does not blame the others for silence.
#[derive(Debug, Default)]
pub(super) struct PauseWatch {
    last: Option<Instant>,
    recovering_until: Option<Instant>,
}

impl PauseWatch {
    /// Returns whether less than `pause` has gone by since a pause of that length or more.
    pub(super) fn is_recovering(&mut self, pause: Duration, now: Instant) -> bool {
        let was_paused = self.last.is_some_and(|last| now - last >= pause);
        self.last = Some(now);
        if was_paused {
            self.recovering_until = Some(now + pause);
        }
        self.recovering_until.is_some_and(|until| now < until)
    }
}
