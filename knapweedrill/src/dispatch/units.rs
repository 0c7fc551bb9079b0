//! Durations as the numbers that logs and messages carry.

use std::time::Duration;

/// Returns whole milliseconds; more than fit count as the most that do.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
