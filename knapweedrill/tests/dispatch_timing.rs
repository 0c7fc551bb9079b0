//! Tests of the limits on how long runs may outlive their entry, for various platform bounds.

use std::time::Duration;

use knapweedrill::dispatch::RunTiming;
use knapweedrill::dispatch::entry::EntrySettings;
use knapweedrill::dispatch::sidecar::SidecarSettings;
use proptest::prelude::*;
use test_case::test_case;

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

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Guards against a bound so long that sums with it overflow, which ends a process, or wraps around and
/// counts runs as ended that go on.
#[test_case(DAY + MS; "more than a day")]
#[test_case(Duration::from_millis(u64::MAX); "more milliseconds than 64 bits")]
#[test_case(Duration::MAX; "longest duration")]
fn bounds_of_more_than_a_day_count_as_a_day(bound: Duration) {
    let timing = RunTiming::new(bound, bound, bound);
    assert_eq!(timing, RunTiming::new(DAY, DAY, DAY));
    assert_eq!(timing.run_stop_time_max(), DAY);
    assert!(timing.orphan_run_max() < DAY + 1_300 * MS);
    assert_eq!(SidecarSettings::new(timing, bound).lease_max, DAY);
    assert_eq!(EntrySettings::new(timing, bound).resubmission_delay, DAY);
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
