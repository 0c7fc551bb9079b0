//! Waits between dials that fail.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::SessionSettings;

/// The greatest power of two by which the first wait is multiplied.
const DOUBLINGS_MAX_COUNT: u32 = 16;

/// Returns the wait after `failed_count` failures in a row.
///
/// The wait doubles with each failure; its random part keeps processes from dialling in step.
pub(super) fn backoff(failed_count: u32, settings: &SessionSettings, rng: &mut StdRng) -> Duration {
    let doublings = failed_count.saturating_sub(1).min(DOUBLINGS_MAX_COUNT);
    let longest = settings.backoff_base.saturating_mul(1 << doublings);
    longest
        .min(settings.backoff_max)
        .mul_f64(rng.random_range(0.5..1.0))
}
