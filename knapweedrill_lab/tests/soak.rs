//! A short soak, and the seeds that once broke a promise.

use std::time::Duration;

use knapweedrill_lab::soak::{self, SoakOptions};
use test_case::test_case;

/// Long enough for some twenty faults, of which several overlap.
const DURATION: Duration = Duration::from_secs(8);

// 101: callers whose client had not noticed the end of a process took its old connection.
// 118: a connection of a caller that a fault had silenced was used after the faults.
// 239: a machine stood still for 2.2 s, and the minion told ends when it noticed them.
#[test_case(1; "the first seed")]
#[test_case(101; "stale connections of callers")]
#[test_case(118; "silent connections of callers")]
#[test_case(239; "a minion that stands still")]
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
