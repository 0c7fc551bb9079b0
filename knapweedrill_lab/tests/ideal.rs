//! Tests of the lower bound on the response time of a job.

use std::time::Duration;

use knapweedrill_lab::ideal::SlotSpeeds;
use test_case::test_case;

#[test_case(&[(100, 1)], &[400], 400; "one task on one slot")]
#[test_case(&[(50, 8), (200, 8)], &[400], 200; "one task runs on the fastest slot")]
#[test_case(&[(100, 2)], &[300, 300, 300, 300], 600; "tasks queue when there are fewer slots")]
#[test_case(&[(200, 1), (100, 1)], &[400, 100], 200; "the longest task bounds the job")]
#[test_case(&[(100, 4)], &[], 0; "a job without tasks takes no time")]
fn ideal_response_time_is_the_bound_for_uniform_machines(
    minions: &[(u32, u32)],
    run_ms: &[u64],
    ideal_ms: u64,
) {
    let slots = SlotSpeeds::new(minions.iter().copied());

    let ideal = slots.ideal_response_time(run_ms.iter().copied().map(Duration::from_millis));

    assert_eq!(ideal.as_millis(), u128::from(ideal_ms));
}
