//! Conversion and limits of durations in logs and messages.

use std::time::Duration;

/// Returns a duration in whole milliseconds, at most `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The limit on durations received from outside: far longer than any job, and short enough that
/// sums and multiples of it don't overflow.
const RECEIVED_DURATION_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Limits a duration received from another process, a caller or the settings, so that calculations with
/// it don't overflow.
pub(crate) fn clamp_duration(received: Duration) -> Duration {
    received.min(RECEIVED_DURATION_MAX)
}
