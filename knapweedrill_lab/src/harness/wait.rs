//! Waiting with a deadline.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, bail};

const POLL: Duration = Duration::from_millis(10);

/// Waits until `is_met` returns true, looking every 10 ms.
///
/// # Errors
///
/// Returns an error that names `what` if it is not met within `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut is_met: impl FnMut() -> bool) -> Result<()> {
    let deadline = Instant::now() + timeout;
    while !is_met() {
        if Instant::now() >= deadline {
            bail!("{what}: not met within {timeout:?}");
        }
        thread::sleep(POLL);
    }
    Ok(())
}
