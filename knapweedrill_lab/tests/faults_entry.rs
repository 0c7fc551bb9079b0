//! Fault cases of entries, on real processes.

use knapweedrill_lab::faults::FaultCase;
use test_case::test_case;

#[test_case(FaultCase::EntryKilled, 1)]
#[test_case(FaultCase::EntryKilledBeforeStart, 1)]
#[test_case(FaultCase::EntryStopped, 1)]
#[test_case(FaultCase::EntriesReplaced, 1)]
#[test_case(FaultCase::EntryFrozen, 1)]
fn guarantees_hold_when_an_entry_fails_or_stops(case: FaultCase, seed: u64) {
    let report = case.run(seed).expect("the case can be carried out");
    assert!(report.is_passed(), "{report}");
}
