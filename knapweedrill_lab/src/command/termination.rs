//! Waiting for the signal to end.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Catches the signals that ask the process to end.
#[derive(Debug)]
pub(super) struct Termination {
    signals: Signals,
}

impl Termination {
    /// Catches the signals from now on; called before a stand-in answers its first request.
    ///
    /// # Errors
    ///
    /// Returns an error if the signals can't be caught.
    pub(super) fn catch() -> io::Result<Self> {
        let signals = Signals::new([SIGINT, SIGTERM])?;
        Ok(Self { signals })
    }

    /// Waits until the process is asked to end.
    pub(super) fn wait(mut self) {
        self.signals.forever().next();
    }
}
