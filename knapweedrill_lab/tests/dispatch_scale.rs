//! What an entry and a sidecar do for a start and for nothing, at fleets of unlike size: work is counted,
//! not timed.

mod dispatch_world;

use dispatch_world::{Faults, World};
use test_case::test_case;

/// One entry for so many sidecars, as on the users' largest site.
const SIDECARS_PER_ENTRY: usize = 4;

const WARM_UP_MS: u64 = 6_000;
const MEASURED_MS: u64 = 3_000;

/// The pause between two jobs of two tasks, over all entries of a fleet of 24 sidecars: half of the
/// minions' room is in use.
const SUBMIT_EVERY_MS: f64 = 5.5;

#[derive(Debug)]
struct Cost {
    datagrams_per_start: f64,
    bytes_per_start: f64,
    entry_datagrams_per_s_max: f64,
    sidecar_datagrams_per_s: f64,
    sessions_max: usize,
    sharers_max: usize,
    sharers_min: usize,
}

fn measure(sidecar_count: usize, is_loaded: bool) -> Cost {
    let entry_count = sidecar_count / SIDECARS_PER_ENTRY;
    let mut world = World::new(entry_count, sidecar_count, 1, Faults::default());
    world.settle();
    world.set_run_ms(200);
    let pause_ms = SUBMIT_EVERY_MS * 24.0 / sidecar_count as f64;
    let mut due_ms = world.now_ms() as f64;
    let mut play = |world: &mut World, for_ms: u64| {
        for _ in 0..for_ms {
            while is_loaded && due_ms <= world.now_ms() as f64 {
                due_ms += pause_ms;
                world.submit(2, 2_500);
            }
            world.advance(1);
        }
    };
    play(&mut world, WARM_UP_MS);
    let before = (
        world.seen.sent_counts.clone(),
        world.seen.received_counts.clone(),
        world.seen.sent_bytes.iter().sum::<u64>(),
        world.seen.started_count,
    );
    play(&mut world, MEASURED_MS);
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let sent: Vec<u64> = (world.seen.sent_counts.iter().zip(&before.0))
        .map(|(after, before)| after - before)
        .collect();
    let received: Vec<u64> = (world.seen.received_counts.iter().zip(&before.1))
        .map(|(after, before)| after - before)
        .collect();
    let bytes = world.seen.sent_bytes.iter().sum::<u64>() - before.2;
    let starts = (world.seen.started_count - before.3).max(1) as f64;
    let per_entry = (0..entry_count).map(|entry| sent[entry] + received[entry]);
    let of_sidecars: u64 = sent[entry_count..].iter().sum();
    let sharers = world.sharer_counts();
    Cost {
        datagrams_per_start: sent.iter().sum::<u64>() as f64 / starts,
        bytes_per_start: bytes as f64 / starts,
        entry_datagrams_per_s_max: per_entry.max().unwrap_or(0) as f64 / seconds,
        sidecar_datagrams_per_s: of_sidecars as f64 / seconds / sidecar_count as f64,
        sessions_max: world.session_counts().into_iter().max().unwrap_or(0),
        sharers_max: sharers.iter().copied().max().unwrap_or(0),
        sharers_min: sharers.iter().copied().min().unwrap_or(0),
    }
}

/// A start costs no more at 240 sidecars than at 24, give or take a fifth; the sum of it is bounded too.
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

/// What an idle sidecar sends does not depend on the number of entries.
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

/// Sidecars are kept by about as many entries, although all entries hear of them in the same order.
#[test]
fn sidecars_are_shared_evenly() {
    let cost = measure(240, false);
    let mean = cost.sessions_max * 240 / SIDECARS_PER_ENTRY / 240;
    println!("{cost:?}, {mean} on average");
    assert!(cost.sharers_max <= 5 * mean.max(1), "{cost:?}");
    assert!(cost.sharers_min <= mean, "{cost:?}");
}
