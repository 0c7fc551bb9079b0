//! How long runs may outlive their entry, for platforms with other bounds than today's.

use std::time::Duration;

use knapweedrill::dispatch::RunTiming;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn todays_bounds_leave_time_for_all_that_is_wanted() {
    let timing = RunTiming::new(1_000 * MS, 50 * MS, 1_300 * MS);
    assert_eq!(timing.entry_silence(), 600 * MS);
    assert_eq!(timing.lease(), 550 * MS);
    assert_eq!(timing.doubt(), 1_300 * MS);
}

#[test]
fn more_patient_callers_change_nothing() {
    let timing = RunTiming::new(1_000 * MS, 50 * MS, 5_000 * MS);
    assert_eq!(timing, RunTiming::default());
}

proptest! {
    /// The runs of a lost entry are over before its callers come back, and another entry waits until
    /// all that may delay their end has passed.
    #[test]
    fn runs_of_a_lost_entry_end_before_its_callers_return(
        lease_max_ms in 200_u32..5_000,
        stop_ms in 1_u32..300,
        resubmission_ms in 700_u32..5_000,
    ) {
        let timing = RunTiming::new(lease_max_ms * MS, stop_ms * MS, resubmission_ms * MS);
        let frozen = timing.entry_silence() + timing.lease() * 102 / 100 + stop_ms * MS;
        prop_assert!(timing.doubt() >= frozen);
        prop_assert!(timing.doubt() <= resubmission_ms * MS);
        prop_assert!(timing.lease() <= lease_max_ms * MS);
    }
}
