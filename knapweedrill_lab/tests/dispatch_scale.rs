//! The datagrams and sessions of entries and sidecars, under load and idle, in fleets of different
//! sizes. The work is counted and not timed, so that the results do not depend on the machine.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Simulation};
use test_case::test_case;

/// The number of sidecars for each entry, as on the users' largest site.
const SIDECARS_PER_ENTRY: usize = 4;

const WARM_UP_MS: u64 = 6_000;
const MEASURED_MS: u64 = 3_000;

/// The interval between jobs of two tasks in a fleet of 24 sidecars, over all its entries: half of
/// the minions' capacity is in use.
const SUBMISSION_INTERVAL_MS: f64 = 5.5;

/// What a fleet sends, and the sessions that it keeps.
#[derive(Debug)]
struct Cost {
    datagrams_per_start: f64,
    bytes_per_start: f64,
    entry_datagrams_per_s_max: f64,
    sidecar_datagrams_per_s: f64,
    /// The most sessions of one entry.
    sessions_max: usize,
    entries_per_sidecar_max: usize,
    entries_per_sidecar_min: usize,
}

/// Counts for 3 s, after a warm-up of 6 s, what a fleet sends with or without load.
fn measure(sidecar_count: usize, is_loaded: bool) -> Cost {
    let entry_count = sidecar_count / SIDECARS_PER_ENTRY;
    let mut simulation = Simulation::new(entry_count, sidecar_count, 1, FaultSettings::default());
    simulation.warm_up();
    simulation.set_run_ms(200);
    let interval_ms = SUBMISSION_INTERVAL_MS * 24.0 / sidecar_count as f64;
    let mut due_ms = simulation.now_ms() as f64;
    let mut run = |simulation: &mut Simulation, for_ms: u64| {
        for _ in 0..for_ms {
            while is_loaded && due_ms <= simulation.now_ms() as f64 {
                due_ms += interval_ms;
                simulation.submit(2, 2_500);
            }
            simulation.advance(1);
        }
    };
    run(&mut simulation, WARM_UP_MS);
    let before = (
        simulation.observations.sent_counts.clone(),
        simulation.observations.received_counts.clone(),
        simulation.observations.sent_bytes.iter().sum::<u64>(),
        simulation.observations.started_count,
    );
    run(&mut simulation, MEASURED_MS);
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let sent: Vec<u64> = (simulation.observations.sent_counts.iter().zip(&before.0))
        .map(|(after, before)| after - before)
        .collect();
    let received: Vec<u64> = (simulation
        .observations
        .received_counts
        .iter()
        .zip(&before.1))
    .map(|(after, before)| after - before)
    .collect();
    let bytes = simulation.observations.sent_bytes.iter().sum::<u64>() - before.2;
    let starts = (simulation.observations.started_count - before.3).max(1) as f64;
    let per_entry = (0..entry_count).map(|entry| sent[entry] + received[entry]);
    let of_sidecars: u64 = sent[entry_count..].iter().sum();
    let entries_per_sidecar = simulation.entries_per_sidecar();
    Cost {
        datagrams_per_start: sent.iter().sum::<u64>() as f64 / starts,
        bytes_per_start: bytes as f64 / starts,
        entry_datagrams_per_s_max: per_entry.max().unwrap_or(0) as f64 / seconds,
        sidecar_datagrams_per_s: of_sidecars as f64 / seconds / sidecar_count as f64,
        sessions_max: simulation
            .sessions_per_entry()
            .into_iter()
            .max()
            .unwrap_or(0),
        entries_per_sidecar_max: entries_per_sidecar.iter().copied().max().unwrap_or(0),
        entries_per_sidecar_min: entries_per_sidecar.iter().copied().min().unwrap_or(0),
    }
}

/// Bounds the datagrams and bytes per start in a large fleet to 120 % of those at 24 sidecars, and
/// the datagrams of the busiest entry to 150 %.
#[test_case(240)]
#[test_case(800)]
fn start_costs_no_more_in_a_larger_fleet(sidecar_count: usize) {
    let small = measure(24, true);
    let large = measure(sidecar_count, true);
    println!("{small:?}\n{large:?}");
    assert!(large.datagrams_per_start <= 1.2 * small.datagrams_per_start);
    assert!(large.bytes_per_start <= 1.2 * small.bytes_per_start);
    assert!(large.entry_datagrams_per_s_max <= 1.5 * small.entry_datagrams_per_s_max);
}

/// Bounds the datagrams of an idle sidecar and an idle entry in a large fleet to 120 % of those at
/// 24 sidecars, as they must not grow with the number of entries.
#[test_case(240)]
#[test_case(800)]
#[test_case(1_600)]
fn idle_sidecar_costs_no_more_in_a_larger_fleet(sidecar_count: usize) {
    let small = measure(24, false);
    let large = measure(sidecar_count, false);
    println!("{small:?}\n{large:?}");
    assert!(large.sidecar_datagrams_per_s <= 1.2 * small.sidecar_datagrams_per_s);
    assert!(large.entry_datagrams_per_s_max <= 1.2 * small.entry_datagrams_per_s_max);
}

/// Checks that all sidecars have sessions with about as many entries, although all entries learn of
/// the sidecars in the same order.
#[test]
fn sessions_are_spread_evenly_over_sidecars() {
    let cost = measure(240, false);
    let mean = cost.sessions_max * 240 / SIDECARS_PER_ENTRY / 240;
    println!("{cost:?}, {mean} entries per sidecar on average");
    assert!(cost.entries_per_sidecar_max <= 5 * mean.max(1), "{cost:?}");
    assert!(cost.entries_per_sidecar_min <= mean, "{cost:?}");
}
