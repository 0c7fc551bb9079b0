//! Guarantees of entries and sidecars on a simulated network with faults.

mod simulated;

use std::time::Duration;

use simulated::{Faults, Timing, World};
use test_case::test_case;

const SEED_COUNT: u64 = 40;
const LOAD_DURATION: Duration = Duration::from_secs(20);
const DRAIN_DURATION: Duration = Duration::from_secs(60);

const NONE: Faults = Faults {
    disconnects: 0,
    entry_kills: 0,
    entry_stops: 0,
    sidecar_kills: 0,
    sidecar_stops: 0,
    freezes: 0,
    cancels: 0,
};
const DISCONNECTS: Faults = Faults {
    disconnects: 100,
    ..NONE
};
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
    disconnects: 40,
    entry_kills: 5,
    entry_stops: 5,
    sidecar_kills: 5,
    sidecar_stops: 5,
    freezes: 8,
    cancels: 100,
};

/// Most tasks end before a closed session reopens.
const SHORT_TASKS: Timing = Timing {
    task_ms: 10..=200,
    outage_ms: 10..=2500,
    detection_ms: 0..=1500,
    prefetch_count: 1,
};
/// Tasks that a sidecar has accepted still wait there when a closed session reopens.
const LONG_TASKS: Timing = Timing {
    task_ms: 300..=1500,
    outage_ms: 10..=100,
    detection_ms: 0..=20,
    prefetch_count: 2,
};

#[test_case(NONE; "nothing fails")]
#[test_case(DISCONNECTS; "sessions break")]
#[test_case(ENTRY_KILLS; "entries are killed")]
#[test_case(SIDECAR_KILLS; "sidecars are killed")]
#[test_case(STOPS; "processes stop as planned")]
#[test_case(FREEZES; "processes freeze")]
#[test_case(ALL; "everything at once")]
fn no_task_starts_twice_and_every_response_is_correct(faults: Faults) {
    assert_guarantees(faults, &SHORT_TASKS);
}

#[test_case(DISCONNECTS; "sessions break")]
#[test_case(ALL; "everything at once")]
fn prefetched_tasks_start_at_most_once(faults: Faults) {
    assert_guarantees(faults, &LONG_TASKS);
}

fn assert_guarantees(faults: Faults, timing: &Timing) {
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed, faults, timing.clone());
        world.run(LOAD_DURATION, DRAIN_DURATION);
        let violations = world.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let counts = world.outcome_counts();
        assert!(counts.complete_count > 0, "seed {seed}: {counts:?}");
    }
}
