//! Tests of the limits on how long runs may outlive their entry, for various platform bounds.

use std::time::Duration;

use knapweedrill::dispatch::RunTiming;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn default_bounds_allow_the_full_timeouts() {
    let timing = RunTiming::new(1_000 * MS, 50 * MS, 1_300 * MS);
    assert_eq!(timing.entry_silence_timeout(), 600 * MS);
    assert_eq!(timing.lease(), 550 * MS);
    assert_eq!(timing.orphan_run_max(), 1_300 * MS);
}

#[test]
fn longer_resubmission_delay_does_not_extend_the_timeouts() {
    let timing = RunTiming::new(1_000 * MS, 50 * MS, 5_000 * MS);
    assert_eq!(timing, RunTiming::default());
}

proptest! {
    /// The runs of a lost entry end before its callers resubmit their jobs, and another entry waits
    /// for the longest time that a frozen sidecar and clock drift can delay their end.
    #[test]
    fn runs_of_a_lost_entry_end_before_its_callers_resubmit(
        lease_max_ms in 200_u32..5_000,
        stop_ms in 1_u32..300,
        resubmission_ms in 700_u32..5_000,
    ) {
        let timing = RunTiming::new(lease_max_ms * MS, stop_ms * MS, resubmission_ms * MS);
        let run_end_delay_max = timing.entry_silence_timeout() + timing.lease() * 102 / 100 + stop_ms * MS;
        prop_assert!(timing.orphan_run_max() >= run_end_delay_max);
        prop_assert!(timing.orphan_run_max() <= resubmission_ms * MS);
        prop_assert!(timing.lease() <= lease_max_ms * MS);
    }
}
