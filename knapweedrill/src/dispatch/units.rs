//! Durations as the numbers that logs and messages carry.

use std::time::Duration;

/// Returns whole milliseconds; more than fit count as the most that do.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The longest time that any figure from outside stands for: far beyond the life of a job, and short enough
/// for sums and multiples of it to fit.
const TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns a time that was told by another process or a caller, cut to what can be worked with.
pub(crate) fn bounded(told: Duration) -> Duration {
    told.min(TIME_MAX)
}
