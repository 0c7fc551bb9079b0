//! No task runs twice where processes are slow: rounds of event loops that take up to 400 ms, and
//! traffic threads that are behind.

mod dispatch_simulation;

use dispatch_simulation::{Fault, FaultSettings, Simulation};
use rand::RngExt;
use test_case::test_case;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 9_000;

/// The seeds of a run by hand stand in `SLOW_PROCESSES_SEEDS`, as the first and the one after the
/// last.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("SLOW_PROCESSES_SEEDS").unwrap_or_else(|_| "1..5".into());
    let (first, end) = seeds.split_once("..").expect("seeds are a range");
    let parse = |seed: &str| seed.parse().expect("seeds are numbers");
    parse(first)..parse(end)
}

/// The faults beside slow processes.
#[derive(Debug, Clone, Copy)]
enum Beside {
    /// Crashed minions may return under their names, and orders without an answer are carried out at
    /// once or not at all.
    SameNames,
    /// Orders without an answer may be carried out seconds later, and crashed minions return under
    /// other names. With the same names a late order may reach the next incarnation, see
    /// KNOWN-RED.txt.
    LateOrders,
}

/// Runs tasks of 0.2 to 4 s for 12 s a seed, with faults of machines, minions and links, and returns
/// how many were started.
fn run_slow_processes(
    seed: u64,
    slow_round_permille: u32,
    lag_max_ms: u64,
    beside: Beside,
) -> usize {
    let mut simulation = Simulation::new(3, 6, seed, FaultSettings::default());
    simulation.warm_up();
    simulation.step_costs.slow_round_permille = slow_round_permille;
    simulation.slow_traffic.lag_max_ms = lag_max_ms;
    simulation.faults = FaultSettings {
        machine_fault_permille: 1_500,
        lost_datagram_permille: 20,
        datagram_delay_max_ms: 20,
        lost_response_permille: 30,
        ..FaultSettings::default()
    };
    match beside {
        Beside::SameNames => {}
        Beside::LateOrders => {
            simulation.faults.renames_minions = true;
            simulation.faults.delayed_call_permille = 40;
            simulation.faults.extra_faults = &[Fault::DelayOrders];
        }
    }
    let end_ms = simulation.now_ms() + 12_000;
    while simulation.now_ms() < end_ms {
        let run_ms = [200, 1_000, 2_500, 4_000][simulation.random().random_range(0..4)];
        simulation.set_run_ms(run_ms);
        let tasks = simulation.random().random_range(1..5);
        simulation.submit(tasks, CALLER_TIMEOUT_MS);
        let pause_ms = simulation.random().random_range(50..400);
        simulation.advance(pause_ms);
    }
    simulation.advance(4_000);
    simulation.observations.started_count as usize
}

/// Guards against claims about runs that rest on a clock reading, a response or an order that is
/// older than the process takes it to be.
#[test_case(20, 0, Beside::SameNames; "slow event loops")]
#[test_case(0, 400, Beside::SameNames; "slow traffic threads")]
#[test_case(5, 400, Beside::SameNames; "slow event loops and traffic threads")]
#[test_case(2, 2_000, Beside::SameNames; "traffic threads that are seconds behind")]
#[test_case(20, 0, Beside::LateOrders; "slow event loops and late orders")]
#[test_case(5, 400, Beside::LateOrders; "slow event loops and traffic threads, late orders")]
fn no_task_runs_twice_where_processes_are_slow(
    slow_round_permille: u32,
    lag_max_ms: u64,
    beside: Beside,
) {
    let mut started_count = 0;
    for seed in seeds() {
        println!("seed {seed}");
        started_count += run_slow_processes(seed, slow_round_permille, lag_max_ms, beside);
    }
    assert!(started_count > 100, "only {started_count} starts");
}

/// Guards against a start that waits in its sidecar, behind orders without an answer, until its run
/// has been reported as lost, and then reaches the next incarnation of the minion.
#[test]
fn start_that_has_waited_in_its_sidecar_does_not_reach_the_next_incarnation() {
    let mut simulation = Simulation::new(1, 2, 3, FaultSettings::default());
    simulation.warm_up();
    simulation.set_run_ms(4_000);
    simulation.hold_back_starts(700);
    simulation.submit(1, CALLER_TIMEOUT_MS);
    simulation.advance(50);
    let [minion] = simulation.minions_with_waiting_starts()[..] else {
        panic!("the start of one task waits");
    };
    simulation.faults.lost_response_permille = 1_000;
    simulation.advance(500);
    simulation.restart_minion_under_its_name(minion);
    simulation.advance(150);
    simulation.advance(20);
    simulation.faults.lost_response_permille = 0;
    simulation.advance(1_000);
}
