//! Tasks that wait for the rack that holds their data, in simulated entries and sidecars. Each rack
//! of the simulation has one minion if not said otherwise.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Racks, Simulation};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::RackWaitCounts;
use test_case::test_case;

/// The tasks that fill a minion.
const TASKS_PER_MINION: u32 = 6;

const RUN_MS: u64 = 200;

/// The minion of the wanted rack.
const WANTED: usize = 3;

/// Starts one entry and eight minions, and fills the wanted rack.
fn start(factor_permille: Option<u32>) -> Simulation {
    let faults = FaultSettings::default();
    let racks = Racks {
        remote_run_factor_permille: factor_permille,
        ..Racks::default()
    };
    let mut simulation = Simulation::with_racks(1, 8, 5, faults, racks);
    simulation.set_run_ms(RUN_MS);
    simulation.warm_up();
    let job = submit(&mut simulation, TASKS_PER_MINION);
    simulation.advance(20);
    assert_eq!(simulation.minions_of(job), [WANTED]);
    simulation
}

fn submit(simulation: &mut Simulation, tasks: u32) -> JobName {
    simulation.submit_with(tasks, 2_500, |step| {
        step.data_rack = Some(format!("rack-{WANTED}"));
    })
}

fn counts(simulation: &Simulation) -> RackWaitCounts {
    let entry = simulation.entry(0).expect("the entry runs");
    entry.rack_wait_counts()
}

/// Guards against tasks that run elsewhere although their rack has room soon, and against waiting
/// tasks that block the jobs behind them.
#[test]
fn task_waits_for_its_rack_and_blocks_no_other() {
    let mut simulation = start(Some(2_000));
    simulation.advance(100);
    // More jobs than a pass may skip; half as large, so that the wait pays for all of them.
    let submit_half = |_| {
        simulation.submit_with(1, 2_500, |step| {
            step.resources.cpu_millicores /= 2;
            step.resources.memory_mib /= 2;
            step.data_rack = Some(format!("rack-{WANTED}"));
        })
    };
    let waiting: Vec<_> = (0..10).map(submit_half).collect();
    let other = simulation.submit(1, 2_500);
    simulation.advance(20);
    for job in &waiting {
        assert!(
            simulation.minions_of(*job).is_empty(),
            "{}",
            simulation.trace_of(*job)
        );
    }
    assert_eq!(
        simulation.minions_of(other).len(),
        1,
        "{}",
        simulation.trace_of(other)
    );
    simulation.advance(120);
    let ran = waiting
        .iter()
        .filter(|job| simulation.minions_of(**job) == [WANTED]);
    assert!(ran.count() >= TASKS_PER_MINION as usize);
    let counts = counts(&simulation);
    assert_eq!((counts.placed, counts.given_up, counts.ended), (10, 0, 0));
    assert!(counts.waited.as_millis() >= 10 * 40, "{counts:?}");
}

/// Guards against a line in which each task waits for the same room.
#[test]
fn tasks_for_which_a_wait_does_not_pay_go_elsewhere_at_once() {
    let mut simulation = start(Some(2_000));
    simulation.advance(100);
    let jobs: Vec<_> = (0..2 * TASKS_PER_MINION)
        .map(|_| submit(&mut simulation, 1))
        .collect();
    simulation.advance(20);
    let elsewhere = jobs
        .iter()
        .filter(|job| !simulation.minions_of(**job).is_empty());
    assert_eq!(elsewhere.count(), TASKS_PER_MINION as usize);
}

#[test]
fn no_task_waits_without_a_factor() {
    let mut simulation = start(None);
    simulation.advance(100);
    let job = submit(&mut simulation, 1);
    simulation.advance(20);
    assert_eq!(simulation.minions_of(job).len(), 1);
    assert_eq!(counts(&simulation), RackWaitCounts::default());
}

/// Guards against tasks that wait for a rack whose minions are gone: it drains, its sidecar ends, or
/// it can't be reached.
#[test_case(|simulation| simulation.drain(WANTED), 30; "drains")]
#[test_case(|simulation| simulation.kill(simulation.sidecar_node(WANTED), 60_000), 190; "ends")]
#[test_case(|simulation| simulation.isolate(simulation.sidecar_node(WANTED), 60_000), 190; "is unreachable")]
fn tasks_do_not_wait_for_a_rack_that_disappears(vanish: fn(&mut Simulation), within_ms: u64) {
    let mut simulation = start(Some(2_000));
    simulation.advance(40);
    let jobs: Vec<_> = (0..4).map(|_| submit(&mut simulation, 1)).collect();
    simulation.advance(5);
    for job in &jobs {
        assert!(
            simulation.minions_of(*job).is_empty(),
            "{}",
            simulation.trace_of(*job)
        );
    }
    vanish(&mut simulation);
    // At the latest after the gain of 200 ms.
    simulation.advance(within_ms);
    for job in &jobs {
        let minions = simulation.minions_of(*job);
        assert!(
            !minions.is_empty() && minions != [WANTED],
            "{}",
            simulation.trace_of(*job)
        );
    }
    let counts = counts(&simulation);
    assert_eq!((counts.placed, counts.given_up), (0, 4));
}

/// Guards against tasks that run elsewhere although most of their rack is idle, as the entry has
/// sessions with a few of its minions only: racks of 12 minions, of which one is wanted by 15 jobs of
/// four tasks.
#[test]
fn tasks_of_a_burst_find_the_idle_minions_of_their_rack() {
    let racks = Racks {
        minions_per_rack: 12,
        remote_run_factor_permille: Some(2_000),
    };
    let mut simulation = Simulation::with_racks(1, 60, 3, FaultSettings::default(), racks);
    simulation.warm_up();
    simulation.advance(6_000);
    simulation.set_run_ms(400);
    let mut there_count = 0;
    let jobs: Vec<_> = (0..15)
        .map(|_| {
            let job = submit(&mut simulation, 4);
            simulation.advance(4);
            job
        })
        .collect();
    simulation.advance(100);
    for job in &jobs {
        let minions = simulation.minions_of(*job);
        there_count += usize::from(minions.iter().all(|minion| minion / 12 == WANTED));
    }
    // With four members for a label 5 of the jobs ran there.
    assert!(
        there_count >= 12,
        "{there_count} of 15 jobs ran on their rack only"
    );
}
