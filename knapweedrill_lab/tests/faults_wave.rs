//! Fault cases of many concurrent calls, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::CancellationWave, 1)]
#[test_case(FaultCase::ResubmissionWave, 1)]
fn guarantees_hold_with_many_concurrent_calls(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
