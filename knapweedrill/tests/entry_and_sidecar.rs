//! Entries and sidecars together keep their promises on a network that fails.

mod simulated;

use std::time::Duration;

use simulated::{Faults, Timing, World};
use test_case::test_case;

const SEED_COUNT: u64 = 40;
const LOADED: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(60);

const NONE: Faults = Faults {
    cuts: 0,
    entry_kills: 0,
    entry_stops: 0,
    sidecar_kills: 0,
    sidecar_stops: 0,
    freezes: 0,
    cancels: 0,
};
const CUTS: Faults = Faults { cuts: 100, ..NONE };
const ENTRY_KILLS: Faults = Faults {
    entry_kills: 10,
    ..NONE
};
const SIDECAR_KILLS: Faults = Faults {
    sidecar_kills: 10,
    ..NONE
};
const STOPS: Faults = Faults {
    entry_stops: 10,
    sidecar_stops: 10,
    ..NONE
};
const FREEZES: Faults = Faults {
    freezes: 15,
    ..NONE
};
const ALL: Faults = Faults {
    cuts: 40,
    entry_kills: 5,
    entry_stops: 5,
    sidecar_kills: 5,
    sidecar_stops: 5,
    freezes: 8,
    cancels: 100,
};

/// Most tasks end before a broken session is back.
const SHORT_TASKS: Timing = Timing {
    task_ms: 10..=200,
    outage_ms: 10..=2500,
    notice_ms: 0..=1500,
    prefetch_count: 1,
};
/// Tasks that a sidecar has accepted still wait there when a broken session is back.
const LONG_TASKS: Timing = Timing {
    task_ms: 300..=1500,
    outage_ms: 10..=100,
    notice_ms: 0..=20,
    prefetch_count: 2,
};

#[test_case(NONE; "nothing fails")]
#[test_case(CUTS; "sessions break")]
#[test_case(ENTRY_KILLS; "entries are killed")]
#[test_case(SIDECAR_KILLS; "sidecars are killed")]
#[test_case(STOPS; "processes stop as planned")]
#[test_case(FREEZES; "processes freeze")]
#[test_case(ALL; "everything at once")]
fn no_task_starts_twice_and_every_answer_is_true(faults: Faults) {
    check_all_seeds(faults, &SHORT_TASKS);
}

#[test_case(CUTS; "sessions break")]
#[test_case(ALL; "everything at once")]
fn tasks_that_wait_at_a_sidecar_start_at_most_once(faults: Faults) {
    check_all_seeds(faults, &LONG_TASKS);
}

fn check_all_seeds(faults: Faults, timing: &Timing) {
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed, faults, timing.clone());
        world.run(LOADED, QUIET);
        let violations = world.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let tally = world.tally();
        assert!(tally.complete_count > 0, "seed {seed}: {tally:?}");
    }
}
