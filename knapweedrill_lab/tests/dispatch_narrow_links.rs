//! Entries whose links are too narrow for what they send, on a simulated system: datagrams wait for
//! seconds in the queue of the sender's link, in order, while the other direction is free.
//!
//! The simulation checks at each millisecond that no task runs twice at the same time.

mod dispatch_simulation;

use std::time::Duration;

use dispatch_simulation::link_rate::LinkRate;
use dispatch_simulation::{FaultSettings, Simulation};
use rand::RngExt;
use test_case::test_case;

const ENTRY_COUNT: usize = 3;

const SIDECAR_COUNT: usize = 8;

/// The rates of the links of entries, so low that some jobs with long specifications fill them.
const ENTRY_LINK_BITS_PER_S: [u64; 3] = [800_000, 1_600_000, 3_200_000];

/// The rates at which jobs are submitted in turn, and the durations, in milliseconds.
const SUBMISSIONS: [(u32, u64); 4] = [(10, 2_500), (400, 2_000), (20, 3_500), (120, 2_500)];

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 6_000;

/// The run time of tasks that outlast the disruptions, in milliseconds.
const LONG_RUN_MS: u64 = 3_000;

/// The wait from which a link counts as full, in milliseconds.
const FULL_LINK_WAIT_MS: u64 = 500;

/// The longest specification of a job, in bytes.
const SPEC_BYTES_MAX: usize = 4_000;

/// A disruption of a process or of its links.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    FreezeSidecar,
    KillSidecar,
    IsolateSidecar,
    CutToSidecar,
    CutFromSidecar,
    FreezeEntry,
    KillEntry,
    IsolateEntry,
    DisconnectCallers,
    RestartMinion,
}

/// Disruptions after which no caller returns.
const OF_SIDECARS: &[Disruption] = &[
    Disruption::FreezeSidecar,
    Disruption::KillSidecar,
    Disruption::IsolateSidecar,
    Disruption::CutToSidecar,
    Disruption::CutFromSidecar,
    Disruption::RestartMinion,
];

/// All disruptions; callers whose connection broke return.
const OF_ALL: &[Disruption] = &[
    Disruption::FreezeSidecar,
    Disruption::KillSidecar,
    Disruption::IsolateSidecar,
    Disruption::CutToSidecar,
    Disruption::CutFromSidecar,
    Disruption::RestartMinion,
    Disruption::FreezeEntry,
    Disruption::KillEntry,
    Disruption::IsolateEntry,
    Disruption::DisconnectCallers,
];

fn disrupt(simulation: &mut Simulation, disruption: Disruption) {
    let minion = simulation.random().random_range(0..SIDECAR_COUNT);
    let entry = simulation.random().random_range(0..ENTRY_COUNT);
    let for_ms = simulation.random().random_range(100..4_000);
    let sidecar = simulation.sidecar_node(minion);
    match disruption {
        Disruption::FreezeSidecar => simulation.freeze(sidecar, for_ms),
        Disruption::KillSidecar => simulation.kill(sidecar, for_ms / 4),
        Disruption::IsolateSidecar => simulation.isolate(sidecar, for_ms),
        Disruption::CutToSidecar => simulation.cut_link(entry, sidecar, for_ms),
        Disruption::CutFromSidecar => simulation.cut_link(sidecar, entry, for_ms),
        Disruption::FreezeEntry => simulation.freeze(entry, for_ms / 4),
        Disruption::KillEntry => simulation.kill(entry, for_ms),
        Disruption::IsolateEntry => simulation.isolate(entry, for_ms),
        Disruption::DisconnectCallers => simulation.disconnect_callers(entry),
        Disruption::RestartMinion => simulation.restart_minion_under_its_name(minion),
    }
}

fn submit_job(simulation: &mut Simulation) {
    let is_long_run = simulation.random().random_range(0..8) == 0;
    let run_ms = if is_long_run { LONG_RUN_MS } else { 60 };
    let spec_bytes = simulation.random().random_range(300..=SPEC_BYTES_MAX);
    let task_count = simulation.random().random_range(1..=4);
    simulation.set_run_ms(run_ms);
    simulation.set_spec_bytes(spec_bytes);
    let job = simulation.submit_with(task_count, CALLER_TIMEOUT_MS, |step| {
        step.estimate = Duration::from_millis(run_ms);
    });
    simulation.set_run_ms_of(job, task_count, run_ms);
}

/// The seeds of a run by hand stand in `DISPATCH_SEEDS`, separated by commas.
fn seeds() -> Vec<u64> {
    let seeds = std::env::var("DISPATCH_SEEDS").unwrap_or_else(|_| "1,2".into());
    let seeds = seeds.split(',').map(str::parse);
    seeds.collect::<Result<_, _>>().expect("seeds are numbers")
}

/// Guards against orders, stops and heartbeats that arrive seconds late: a run that its entry has
/// given up for lost, or whose caller has returned elsewhere, must have ended by then.
#[test_case(OF_SIDECARS, 1; "sidecars disrupted, a second of queue")]
#[test_case(OF_SIDECARS, 8; "sidecars disrupted, eight seconds of queue")]
#[test_case(OF_ALL, 1; "all disrupted, a second of queue")]
#[test_case(OF_ALL, 8; "all disrupted, eight seconds of queue")]
fn no_task_runs_twice_while_datagrams_wait_for_seconds(disruptions: &[Disruption], queue_s: u64) {
    let seeds = seeds();
    let mut full_link_count = 0;
    for &seed in &seeds {
        let mut simulation =
            Simulation::new(ENTRY_COUNT, SIDECAR_COUNT, seed, FaultSettings::default());
        simulation.warm_up();
        for (entry, bits_per_s) in ENTRY_LINK_BITS_PER_S.into_iter().enumerate() {
            let rate = LinkRate {
                bits_per_s,
                queue_bytes_max: bits_per_s / 8 * queue_s,
                answer_bytes: 0,
            };
            simulation.set_link_rate(entry, rate);
        }
        for (jobs_per_s, for_ms) in SUBMISSIONS.into_iter().cycle().take(2 * SUBMISSIONS.len()) {
            for _ in 0..for_ms {
                if simulation.random().random_range(0..1_000) < jobs_per_s {
                    submit_job(&mut simulation);
                }
                if simulation.random().random_range(0..400) == 0 {
                    let index = simulation.random().random_range(0..disruptions.len());
                    disrupt(&mut simulation, disruptions[index]);
                }
                simulation.advance(1);
            }
        }
        simulation.advance(5_000);
        let wait_max_ms = (0..ENTRY_COUNT)
            .map(|entry| simulation.link_use(entry).wait_max_ms)
            .max();
        full_link_count += usize::from(wait_max_ms > Some(FULL_LINK_WAIT_MS));
        println!(
            "seed {seed}: started {} resubmitted {} wait {wait_max_ms:?} ms",
            simulation.observations.started_count, simulation.observations.resubmitted_count
        );
    }
    // Disruptions that meet at most minions leave little to send.
    assert!(
        full_link_count * 2 >= seeds.len(),
        "links were full in {full_link_count} of {} runs",
        seeds.len()
    );
}
