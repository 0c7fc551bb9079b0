//! Runs of given-up jobs on links that lose or delay what is long, on a simulated system.
//!
//! Heartbeats are short and arrive. The simulation checks at each millisecond that no task runs
//! twice at the same time.

mod dispatch_simulation;

use std::time::Duration;

use dispatch_simulation::{FaultSettings, Simulation};
use rand::RngExt;
use test_case::test_case;

/// The length of a specification that does not fit into one packet, in bytes.
const LONG_SPEC_BYTES: usize = 3_900;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// The run time of tasks that their callers give up waiting for, in milliseconds.
const LONG_RUN_MS: u64 = 3_400;

/// The estimate of these tasks, with which their callers would wait long enough.
const LONG_RUN_ESTIMATE: Duration = Duration::from_millis(1_200);

/// Submits a job that its caller gives up waiting for.
fn submit_long_run(simulation: &mut Simulation) {
    simulation.set_run_ms(LONG_RUN_MS);
    simulation.set_spec_bytes(10);
    let job = simulation.submit_with(2, CALLER_TIMEOUT_MS, |step| {
        step.estimate = LONG_RUN_ESTIMATE;
    });
    simulation.set_run_ms_of(job, 2, LONG_RUN_MS);
}

/// Submits a job of short tasks with a long specification.
fn submit_long_specification(simulation: &mut Simulation) {
    simulation.set_run_ms(30);
    simulation.set_spec_bytes(LONG_SPEC_BYTES);
    simulation.submit(2, CALLER_TIMEOUT_MS);
}

/// Submits jobs with long specifications for a while, with pauses in which heartbeats are sent.
fn submit_long_specifications(simulation: &mut Simulation, pause_ms: u64, for_ms: u64) {
    for _ in 0..for_ms / pause_ms {
        submit_long_specification(simulation);
        simulation.advance(pause_ms);
    }
}

/// Guards against stop orders that wait behind lost start orders while heartbeats arrive: the job
/// is given up, and runs on when its caller has resubmitted it to another entry.
#[test_case(FaultSettings { datagram_bytes_max: Some(1_472), ..FaultSettings::default() }; "long datagrams are lost")]
#[test_case(FaultSettings { lost_packet_permille: 300, ..FaultSettings::default() }; "many packets are lost")]
#[test_case(FaultSettings { link_bytes_per_ms: Some(100), ..FaultSettings::default() }; "links are slow")]
fn runs_of_given_up_jobs_end_before_their_callers_return(faults: FaultSettings) {
    for (seed, pause_ms) in
        (1..=5).flat_map(|seed| [100, 250, 500].map(|pause_ms| (seed, pause_ms)))
    {
        let mut simulation = Simulation::new(2, 4, seed, FaultSettings::default());
        simulation.warm_up();
        for _ in 0..4 {
            submit_long_run(&mut simulation);
        }
        simulation.advance(200);
        simulation.faults = FaultSettings {
            degraded_link_node: Some(0),
            ..faults
        };
        submit_long_specifications(&mut simulation, pause_ms, 4_000);
    }
}

/// Guards against the same on links that lose few packets: long datagrams consist of many.
#[test]
fn no_task_runs_twice_on_links_that_lose_few_packets() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(2, 4, seed, FaultSettings::default());
        simulation.warm_up();
        simulation.faults.lost_packet_permille = 37;
        for _ in 0..300 {
            let is_long = simulation.random().random_range(0..6) == 0;
            if is_long {
                submit_long_run(&mut simulation);
            } else {
                submit_long_specification(&mut simulation);
            }
            simulation.advance(20);
        }
    }
}
