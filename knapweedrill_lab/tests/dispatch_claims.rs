//! The truth of claims that placements are over, on a simulated system with many kinds of faults.
//!
//! The simulation checks each claim at the moment it is made, and at each millisecond that no
//! placement runs that was claimed to be over.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Simulation};

/// The length of each day, in milliseconds.
const DAY_MS: u64 = 25_000;

/// The length of each day of a larger fleet, in milliseconds.
const LARGE_FLEET_DAY_MS: u64 = 12_000;

/// Returns the seeds in `DISPATCH_CLAIM_SEEDS`, as in `1..200`, for a run by hand, or the usual ones.
fn seeds(usual: &str) -> std::ops::Range<u64> {
    let text = std::env::var("DISPATCH_CLAIM_SEEDS").unwrap_or_else(|_| usual.into());
    let (first, end) = text.split_once("..").expect("a range of seeds");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

/// Guards against tasks that are placed again while their runs are at a minion or may still start:
/// after late orders, crashes, minions that leave, pauses and restarts of sidecars, and cuts.
#[test]
fn no_placement_is_claimed_to_be_over_while_it_runs_or_may_start() {
    for seed in seeds("1..9") {
        run_day(3, 6, seed, DAY_MS);
    }
}

/// Guards against the same where entries have sessions with some of the sidecars only, and exchange
/// them.
#[test]
fn no_placement_is_claimed_to_be_over_too_early_in_a_larger_fleet() {
    for seed in seeds("1..2") {
        run_day(9, 55, seed, LARGE_FLEET_DAY_MS);
    }
}

fn run_day(entry_count: usize, sidecar_count: usize, seed: u64, day_ms: u64) {
    let mut simulation =
        Simulation::new(entry_count, sidecar_count, seed, FaultSettings::default());
    simulation.warm_up();
    simulation.run_wide_day(day_ms);
    println!("seed {seed}: {}", simulation.claim_summary());
}
