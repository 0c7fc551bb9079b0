//! Waiting for the signal to end.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits until the process is asked to end.
///
/// # Errors
///
/// Returns an error if the signals can't be caught.
pub(super) fn wait() -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    Ok(())
}
