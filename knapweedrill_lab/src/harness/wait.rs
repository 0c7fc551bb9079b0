//! Polling for a condition with a timeout.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, bail};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `is_met` every 10 ms until it returns true.
///
/// `what` names the condition in the error.
///
/// # Errors
///
/// Returns an error if the condition is not met within `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut is_met: impl FnMut() -> bool) -> Result<()> {
    let deadline = Instant::now() + timeout;
    while !is_met() {
        if Instant::now() >= deadline {
            bail!("{what}: not met within {timeout:?}");
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
