//! Two failures at once, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::EntryKilledMinionHangs, 1)]
#[test_case(FaultCase::SidecarKilledLinkSilent, 1)]
fn the_promises_hold(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
