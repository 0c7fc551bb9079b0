//! Waits for a termination signal.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The signals that ask the process to end: SIGINT and SIGTERM.
#[derive(Debug)]
pub(super) struct TerminationSignals {
    signals: Signals,
}

impl TerminationSignals {
    /// Registers handlers for the signals.
    ///
    /// Callers register before a stand-in answers its first request, so that a signal sent after
    /// that request isn't missed.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers can't be registered.
    pub(super) fn register() -> io::Result<Self> {
        let signals = Signals::new([SIGINT, SIGTERM])?;
        Ok(Self { signals })
    }

    /// Blocks until the process gets one of the signals.
    pub(super) fn wait(mut self) {
        self.signals.forever().next();
    }
}
