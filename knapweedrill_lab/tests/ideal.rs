//! The ideal response time is what the slots allow and no less.

use std::time::Duration;

use knapweedrill_lab::ideal::SlotSpeeds;
use test_case::test_case;

#[test_case(&[(100, 1)], &[400], 400; "one task on one slot")]
#[test_case(&[(50, 8), (200, 8)], &[400], 200; "one task goes to the fastest slot")]
#[test_case(&[(100, 2)], &[300, 300, 300, 300], 600; "tasks queue up for few slots")]
#[test_case(&[(200, 1), (100, 1)], &[400, 100], 200; "the longest task bounds the job")]
#[test_case(&[(100, 4)], &[], 0; "a job without tasks takes no time")]
fn the_ideal_is_the_bound_of_the_slots(minions: &[(u32, u32)], run_ms: &[u64], ideal_ms: u64) {
    let slots = SlotSpeeds::new(minions.iter().copied());

    let ideal = slots.ideal(run_ms.iter().copied().map(Duration::from_millis));

    assert_eq!(ideal.as_millis(), u128::from(ideal_ms));
}
