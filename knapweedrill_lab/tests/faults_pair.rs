//! Fault cases of two faults at once, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::EntryKilledMinionHangs, 1)]
#[test_case(FaultCase::SidecarKilledLinkSilent, 1)]
fn guarantees_hold_with_two_faults_at_once(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
