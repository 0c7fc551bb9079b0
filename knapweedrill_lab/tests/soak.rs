//! A short soak, and the seeds that once broke a promise.

use std::time::Duration;

use knapweedrill_lab::soak::{self, SoakOptions};
use test_case::test_case;

/// Long enough for some twenty faults, of which several overlap.
const DURATION: Duration = Duration::from_secs(8);

#[test_case(1; "the first seed")]
fn promises_hold_under_faults_from_outside(seed: u64) {
    let options = SoakOptions {
        seed,
        duration: DURATION,
        ..SoakOptions::default()
    };
    let report = soak::run(&options).expect("the site runs");
    assert!(report.is_passed(), "{report}");
    assert!(report.completed_count > 50, "{report}");
    assert!(report.troubles.len() > 10, "{report}");
}
