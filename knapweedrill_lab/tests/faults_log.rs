//! Fault cases of the log and of configurations, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::LogDown, 1)]
#[test_case(FaultCase::LogDownWithoutPeers, 1)]
#[test_case(FaultCase::LogSlow, 1)]
#[test_case(FaultCase::LogAnswersLost, 1)]
#[test_case(FaultCase::LogRetentionPassed, 1)]
#[test_case(FaultCase::LogRecordInvalid, 1)]
#[test_case(FaultCase::OperatorsRace, 1)]
fn guarantees_hold_when_the_log_fails_or_operators_race(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
