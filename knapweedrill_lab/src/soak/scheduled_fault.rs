//! The random schedule of faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::SoakOptions;
use super::fault::Fault;

/// The intervals between the starts of faults, in milliseconds; short compared to the durations, so
/// that faults overlap.
const INTERVAL_MS: std::ops::Range<u64> = 60..700;

/// The durations of faults, in milliseconds; they range from below the shortest timeout of the
/// system to above the longest.
const DURATION_MS: std::ops::Range<u64> = 80..3_500;

/// A fault with its start and end, as offsets from the start of the soak test.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScheduledFault {
    pub(super) start: Duration,
    pub(super) end: Duration,
    pub(super) fault: Fault,
}

/// Returns a random schedule of faults, ordered by start. Some faults repeat the previous one.
pub(super) fn random_schedule(options: &SoakOptions) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut schedule: Vec<ScheduledFault> = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += Duration::from_millis(rng.random_range(INTERVAL_MS));
        if start >= options.duration {
            return schedule;
        }
        let repeated = schedule.last().filter(|_| rng.random_bool(0.15));
        let fault = match repeated {
            Some(previous) => previous.fault,
            None => Fault::random(&mut rng, options),
        };
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        schedule.push(ScheduledFault {
            start,
            end: (start + duration).min(options.duration),
            fault,
        });
    }
}
