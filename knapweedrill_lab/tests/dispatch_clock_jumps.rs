//! Sidecars that start again beside their living minions while the wall clock jumps, from which the
//! fencing token of a process is taken.

mod dispatch_simulation;

use dispatch_simulation::{Fault, FaultSettings, Simulation};
use rand::RngExt;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 6_000;

/// The seeds of a run by hand stand in `CLOCK_JUMPS_SEEDS`, as the first and the one after the last.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("CLOCK_JUMPS_SEEDS").unwrap_or_else(|_| "1..9".into());
    let (first, end) = seeds.split_once("..").expect("seeds are a range");
    let parse = |seed: &str| seed.parse().expect("seeds are numbers");
    parse(first)..parse(end)
}

/// Submits jobs of tasks of 0.1 to 2.5 s for 12 s while sidecars are killed for 50 to 1,500 ms. The
/// wall clock of each process that starts is behind by up to 20 s.
fn run_clock_jumps(seed: u64, faults: FaultSettings) -> Simulation {
    let mut simulation = Simulation::new(3, 6, seed, FaultSettings::default());
    simulation.warm_up();
    simulation.clock_jump_max_ms = 20_000;
    simulation.faults = faults;
    let end_ms = simulation.now_ms() + 12_000;
    while simulation.now_ms() < end_ms {
        let run_ms = [100, 700, 2_500][simulation.random().random_range(0..3)];
        simulation.set_run_ms(run_ms);
        let tasks = simulation.random().random_range(1..5);
        simulation.submit(tasks, CALLER_TIMEOUT_MS);
        if simulation.random().random_bool(0.3) {
            let minion = simulation.random().random_range(0..6);
            let down_ms = simulation.random().random_range(50..1_500);
            simulation.kill(simulation.sidecar_node(minion), down_ms);
        }
        let pause_ms = simulation.random().random_range(50..300);
        simulation.advance(pause_ms);
    }
    simulation.faults = FaultSettings::default();
    simulation.advance(2_600);
    simulation
}

/// Guards against a sidecar that hangs for good because its minion has seen a higher token.
#[test]
fn all_minions_are_served_after_clocks_have_jumped_back() {
    for seed in seeds() {
        let simulation = run_clock_jumps(seed, FaultSettings::default());
        assert!(simulation.take_all_minions_tasks(), "seed {seed}");
    }
}

/// Guards against runs of a former process that go on, or late orders of it that are carried out,
/// while their tasks run elsewhere.
#[test]
fn no_task_runs_twice_where_sidecars_start_again_and_clocks_jump() {
    for seed in seeds() {
        println!("seed {seed}");
        let faults = FaultSettings {
            lost_datagram_permille: 20,
            datagram_delay_max_ms: 20,
            lost_response_permille: 30,
            delayed_call_permille: 60,
            renames_minions: true,
            machine_fault_permille: 500,
            extra_faults: &[Fault::DelayOrders],
            ..FaultSettings::default()
        };
        run_clock_jumps(seed, faults);
    }
}
