//! Exponential backoff between failed connection attempts.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::SessionSettings;

/// The largest exponent of the doubling, which keeps the shift from overflowing.
const DOUBLING_COUNT_MAX: u32 = 16;

/// Returns the delay after `failed_count` consecutive failures.
///
/// The delay doubles with each failure. The jitter keeps processes from reconnecting in lockstep.
pub(super) fn backoff(failed_count: u32, settings: &SessionSettings, rng: &mut StdRng) -> Duration {
    let doublings = failed_count.saturating_sub(1).min(DOUBLING_COUNT_MAX);
    let delay_max = settings.backoff_base.saturating_mul(1 << doublings);
    delay_max
        .min(settings.backoff_max)
        .mul_f64(rng.random_range(0.5..1.0))
}
