//! Detection of pauses of this process.

use std::time::{Duration, Instant};

/// Detects pauses of this process, so that it does not suspect others for its own pause.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_call_at: Option<Instant>,
    recovering_until: Option<Instant>,
}

impl PauseDetector {
    /// Returns whether this process was paused for `pause` or longer and resumed less than `pause`
    /// ago.
    pub(super) fn is_recovering(&mut self, pause: Duration, now: Instant) -> bool {
        let was_paused = self.last_call_at.is_some_and(|last| now - last >= pause);
        self.last_call_at = Some(now);
        if was_paused {
            self.recovering_until = Some(now + pause);
        }
        self.recovering_until.is_some_and(|until| now < until)
    }
}
