//! The subset of sidecars that an entry keeps sessions with, as its load changes.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Simulation};
use knapweedrill::dispatch::entry::Answer;
use rand::RngExt;
use test_case::test_case;

/// The most sessions that an entry without load keeps: 125 % of the minimum size of its subset.
const IDLE_SESSIONS_MAX: usize = 15;

/// Starts one entry and so many sidecars, and waits until the entry has shrunk its subset to the
/// size without load.
fn start_with_idle_entry(sidecar_count: usize) -> Simulation {
    let mut simulation = Simulation::new(1, sidecar_count, 3, FaultSettings::default());
    simulation.warm_up();
    // Sidecars without a registered minion were skipped at first; the sessions with those that were
    // taken instead are closed by then.
    simulation.advance(6_000);
    simulation
}

fn session_count(simulation: &Simulation) -> usize {
    simulation.sessions_per_entry()[0]
}

/// Guards against jobs that wait for the minions of the subset while the rest of the fleet is idle:
/// one entry receives a burst of jobs of six tasks each.
#[test]
fn burst_at_one_entry_enlarges_its_subset_temporarily() {
    let mut simulation = start_with_idle_entry(60);
    assert!(session_count(&simulation) <= IDLE_SESSIONS_MAX);
    simulation.set_run_ms(400);
    // Three times the capacity of the subset without load.
    let jobs: Vec<_> = (0..40).map(|_| simulation.submit(6, 2_500)).collect();
    simulation.advance(100);
    let sessions = session_count(&simulation);
    assert!(sessions > 40, "only {sessions} sessions after 100 ms");
    simulation.advance(2_400);
    for job in &jobs {
        simulation.assert_completed(*job);
    }
    simulation.advance(15_000);
    let sessions = session_count(&simulation);
    assert!(
        sessions <= IDLE_SESSIONS_MAX,
        "still {sessions} sessions 15 s after the burst"
    );
}

/// Guards against the loss of data locality: the racks of the data are outside the subset.
#[test]
fn task_runs_in_the_rack_of_its_data_outside_the_subset() {
    let mut simulation = start_with_idle_entry(60);
    simulation.set_run_ms(400);
    let jobs: Vec<_> = (20..40)
        .map(|rack| {
            let job = simulation.submit_with(1, 2_500, |step| {
                step.data_rack = Some(format!("rack-{rack}"));
            });
            (rack, job)
        })
        .collect();
    simulation.advance(100);
    for (rack, job) in jobs {
        assert_eq!(
            simulation.minions_of(job),
            [rack],
            "{}",
            simulation.trace_of(job)
        );
    }
}

#[test]
fn task_with_a_required_label_runs_outside_the_subset() {
    let mut simulation = start_with_idle_entry(60);
    simulation.set_run_ms(100);
    let jobs: Vec<_> = (0..60)
        .map(|rack| {
            simulation.submit_with(1, 2_500, |step| {
                step.required_label = Some(format!("rack-{rack}"));
            })
        })
        .collect();
    simulation.advance(2_000);
    for job in jobs {
        simulation.assert_completed(job);
    }
}

/// Guards against a step that waits for ever: it is limited to one task per minion and has more
/// tasks than the subset has minions.
#[test]
fn step_with_one_task_per_minion_enlarges_the_subset() {
    let mut simulation = start_with_idle_entry(60);
    simulation.set_run_ms(300);
    let job = simulation.submit_with(40, 2_500, |step| step.per_minion_max = Some(1));
    simulation.advance(150);
    assert_eq!(
        simulation.minions_of(job).len(),
        40,
        "{}",
        simulation.trace_of(job)
    );
}

/// Guards against an entry that keeps a subset of unreachable sidecars: all sidecars that it has
/// sessions with are isolated at once.
#[test]
fn unreachable_sidecars_of_the_subset_are_replaced() {
    let mut simulation = start_with_idle_entry(60);
    let connected: Vec<usize> = (0..60)
        .filter(|sidecar| simulation.entries_per_sidecar()[*sidecar] > 0)
        .collect();
    for sidecar in &connected {
        simulation.isolate(1 + sidecar, 20_000);
    }
    simulation.advance(4_500);
    simulation.set_run_ms(100);
    let jobs: Vec<_> = (0..10).map(|_| simulation.submit(4, 2_500)).collect();
    simulation.advance(1_000);
    for job in jobs {
        simulation.assert_completed(job);
    }
}

/// Guards against a slow recovery of the whole fleet: all processes are killed and start again
/// within a second.
#[test]
fn restarted_fleet_completes_jobs_within_seconds() {
    let mut simulation = Simulation::new(10, 40, 5, FaultSettings::default());
    simulation.warm_up();
    for node in 0..50 {
        simulation.kill(node, 100 + 17 * node as u64);
    }
    simulation.advance(3_500);
    simulation.set_run_ms(100);
    let jobs: Vec<_> = (0..60).map(|_| simulation.submit(2, 2_500)).collect();
    simulation.advance(1_500);
    let completed = jobs
        .iter()
        .filter(|job| {
            let answers = simulation.observations.answers.get(*job).map(Vec::as_slice);
            answers == Some(&[Answer::Completed][..])
        })
        .count();
    assert!(completed >= 57, "only {completed} of 60 jobs completed");
}

/// Alternates bursts of jobs with pauses, so that sessions are opened, retired, closed and opened
/// again all the time.
fn run_bursts(seed: u64, faults: FaultSettings) -> Simulation {
    let mut simulation = Simulation::new(4, 40, seed, faults);
    simulation.warm_up();
    for _ in 0..4 {
        let busy_until_ms = simulation.now_ms() + 1_200;
        while simulation.now_ms() < busy_until_ms {
            let run_ms = [40, 200, 700][simulation.random().random_range(0..3)];
            simulation.set_run_ms(run_ms);
            let tasks = simulation.random().random_range(1..12);
            simulation.submit(tasks, 2_500);
            let pause_ms = simulation.random().random_range(1..12);
            simulation.advance(pause_ms);
        }
        let pause_ms = simulation.random().random_range(1_000..6_000);
        simulation.advance(pause_ms);
    }
    simulation.faults = FaultSettings::default();
    simulation.advance(9_000);
    simulation
}

/// The simulation itself checks at each millisecond that no task runs twice at the same time and
/// that no minion exceeds its capacity, and at each refusal that no task of the job has started.
#[test_case(FaultSettings { lost_datagram_permille: 50, datagram_delay_max_ms: 30, ..FaultSettings::default() }; "lossy network")]
#[test_case(FaultSettings { delayed_call_permille: 60, ..FaultSettings::default() }; "delayed calls")]
#[test_case(FaultSettings { lost_response_permille: 60, ..FaultSettings::default() }; "lost responses")]
#[test_case(FaultSettings { machine_fault_permille: 6_000, ..FaultSettings::default() }; "machine faults")]
#[test_case(FaultSettings { lost_datagram_permille: 30, datagram_delay_max_ms: 300, machine_fault_permille: 4_000, ..FaultSettings::default() }; "delayed datagrams and machine faults")]
fn guarantees_hold_while_sessions_open_and_close(faults: FaultSettings) {
    for seed in 0..6 {
        let simulation = run_bursts(seed, faults);
        assert!(
            simulation.observations.started_count > 400,
            "seed {seed}: only {} starts",
            simulation.observations.started_count
        );
        for entry in 0..4 {
            let left = simulation.entry(entry).map_or(0, |entry| entry.job_count());
            assert_eq!(
                left, 0,
                "seed {seed}: jobs without an answer at entry {entry}"
            );
        }
    }
}

/// Guards against entries that add all sidecars to their subsets while a whole fleet starts: jobs
/// are submitted before any minion has registered.
#[test_case(true; "sidecars not started")]
#[test_case(false; "minions not registered")]
fn jobs_before_the_first_minion_enlarge_the_subset_little(are_sidecars_down: bool) {
    let mut simulation = Simulation::new(10, 200, 5, FaultSettings::default());
    for minion in 0..200 {
        if are_sidecars_down {
            simulation.kill(10 + minion, 1_000);
        } else {
            simulation.delay_registration(minion, 1_500);
        }
    }
    simulation.set_run_ms(100);
    let mut sessions_max = 0;
    for _ in 0..200 {
        simulation.submit(2, 2_500);
        simulation.advance(5);
        let most = simulation.sessions_per_entry().into_iter().max();
        sessions_max = most.unwrap_or(0).max(sessions_max);
    }
    assert!(
        sessions_max <= 2 * IDLE_SESSIONS_MAX,
        "{sessions_max} sessions"
    );
}
