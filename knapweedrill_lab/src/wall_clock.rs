//! The wall clock, by which observations of processes on one machine are compared.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in microseconds since the Unix epoch.
///
/// # Panics
///
/// Panics if the clock is set to before 1970.
pub fn wall_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the wall clock is not set to before 1970");
    elapsed.as_micros() as u64
}
