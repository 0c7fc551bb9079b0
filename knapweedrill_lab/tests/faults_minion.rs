//! Failure cases of minions that misbehave, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::MinionFailsEverything, 1)]
#[test_case(FaultCase::MinionNeverAnswers, 1)]
#[test_case(FaultCase::MinionAnswersLate, 1)]
#[test_case(FaultCase::MinionBreaksOff, 1)]
#[test_case(FaultCase::MinionFewerSlots, 1)]
fn a_minion_misbehaves(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}

#[test]
fn a_small_minion_that_fails_everything_is_ejected_soon() {
    let report = FaultCase::SmallMinionFailsEverything
        .run(1)
        .expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
