//! Fault cases of the network, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::CallSilent, 1)]
#[test_case(FaultCase::LinkToSidecarSilent, 1)]
#[test_case(FaultCase::LinkToEntrySilent, 1)]
#[test_case(FaultCase::LinkHeld, 1)]
#[test_case(FaultCase::MinionSilent, 1)]
#[test_case(FaultCase::DatagramsDisturbed, 1)]
#[test_case(FaultCase::Stranger, 1)]
#[test_case(FaultCase::Partition, 1)]
fn guarantees_hold_when_the_network_fails(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
