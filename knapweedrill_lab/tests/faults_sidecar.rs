//! Fault cases of sidecars and their minions, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::SidecarStopped, 1)]
#[test_case(FaultCase::UpstreamLeaves, 1)]
#[test_case(FaultCase::SidecarKilled, 1)]
#[test_case(FaultCase::MinionKilled, 1)]
#[test_case(FaultCase::SidecarAndMinionKilled, 1)]
#[test_case(FaultCase::SidecarFrozen, 1)]
#[test_case(FaultCase::MinionFrozen, 1)]
fn guarantees_hold_when_a_sidecar_or_minion_fails_or_stops(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
