//! Fault cases of faulty minions, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::MinionFailsEverything, 1)]
#[test_case(FaultCase::MinionNeverAnswers, 1)]
#[test_case(FaultCase::MinionAnswersLate, 1)]
#[test_case(FaultCase::MinionBreaksOff, 1)]
#[test_case(FaultCase::MinionFewerSlots, 1)]
fn guarantees_hold_when_a_minion_is_faulty(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}

#[test]
fn a_minion_of_4_slots_that_fails_all_tasks_is_ejected_early() {
    let report = FaultCase::SmallMinionFailsEverything
        .run(1)
        .expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
