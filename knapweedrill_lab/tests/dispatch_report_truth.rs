//! What a sidecar reports about runs, and how long abandoned runs last, against a minion model.

mod sidecar_world;

use sidecar_world::{SidecarWorld, Tally};

/// The length of each world, in milliseconds.
const WORLD_MS: u64 = 60_000;

/// Returns the seeds in `REPORT_TRUTH_SEEDS`, as in `1..200`, for a run by hand, or the usual ones.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("REPORT_TRUTH_SEEDS").unwrap_or_else(|_| "1..31".into());
    let (first, end) = text.split_once("..").expect("a range of seeds");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

/// Guards against a report that a run has ended or will never start while the minion has it or
/// starts it later, and against runs that outlive their entry or sidecar for longer than a lease.
#[test]
fn reports_are_true_and_abandoned_runs_end_in_time() {
    let mut tally = Tally::default();
    for seed in seeds() {
        println!("seed {seed}");
        tally.add(&SidecarWorld::new(seed).run(WORLD_MS));
    }
    println!("{tally:?}");
    assert!(tally.done_count > 20, "{tally:?}");
    assert!(tally.abandoned_count > 20, "{tally:?}");
}
