//! Failure cases of sidecars and minions on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::SidecarStopped, 1)]
#[test_case(FaultCase::UpstreamLeaves, 1)]
#[test_case(FaultCase::SidecarKilled, 1)]
#[test_case(FaultCase::MinionKilled, 1)]
#[test_case(FaultCase::SidecarAndMinionKilled, 1)]
#[test_case(FaultCase::SidecarFrozen, 1)]
#[test_case(FaultCase::MinionFrozen, 1)]
fn the_promises_hold(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
