//! Short soak tests: a first seed, and seeds of former failures.

use std::time::Duration;

use knapweedrill_lab::soak::{self, SoakOptions};
use test_case::test_case;

/// Enough for about twenty faults, several of which overlap.
const DURATION: Duration = Duration::from_secs(8);

// The failures behind the seeds:
// 101: a caller reused a connection before its client detected that the process had exited.
// 118: a caller still used a black-holed connection after the faults had ended.
// 239: the machine was suspended for 2.2 s, and the minion reported the ends of runs with the time
//      at which it detected them.
#[test_case(1; "first seed")]
#[test_case(101; "stale connections of callers")]
#[test_case(118; "black-holed connections of callers")]
#[test_case(239; "suspended minion")]
fn guarantees_hold_under_injected_faults(seed: u64) {
    let options = SoakOptions {
        seed,
        duration: DURATION,
        ..SoakOptions::default()
    };
    let report = soak::run(&options).expect("the site runs");
    assert!(report.is_passed(), "{report}");
    assert!(report.completed_count > 50, "{report}");
    assert!(report.faults.len() > 10, "{report}");
}
