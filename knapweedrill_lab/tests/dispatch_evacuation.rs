//! Evacuations of zones on random days of the simulated system: entries and sidecars freeze, restart
//! and lose datagrams, and the store is down or stale.

mod dispatch_simulation;

use dispatch_simulation::{Fault, FaultSettings, Simulation};
use knapweedrill::dispatch::entry::Answer;
use rand::RngExt;
use test_case::test_case;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// The number of zones, each with two minions.
const ZONE_COUNT: usize = 3;

/// The time after the last evacuation and the last fault in which all minions are back in service, in
/// milliseconds.
const RECOVERY_MS: u64 = 4_000;

/// The seeds of a run by hand stand in `DISPATCH_EVACUATION_SEEDS`, as a range such as `1..100`.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("DISPATCH_EVACUATION_SEEDS") else {
        return 1..9;
    };
    let (first, end) = text.split_once("..").expect("seeds are a range");
    let parse = |text: &str| text.parse().expect("seeds are numbers");
    parse(first)..parse(end)
}

fn submit_random_jobs(simulation: &mut Simulation, for_ms: u64) {
    let end_ms = simulation.now_ms() + for_ms;
    while simulation.now_ms() < end_ms {
        let run_ms = [40, 200, 700][simulation.random().random_range(0..3)];
        simulation.set_run_ms(run_ms);
        let tasks = simulation.random().random_range(1..6);
        simulation.submit(tasks, CALLER_TIMEOUT_MS);
        let pause_ms = simulation.random().random_range(5..80);
        simulation.advance(pause_ms);
    }
}

/// Guards against starts in a zone that all entries know to be evacuated, and against sidecars that
/// stay closed after their zone has returned to service.
#[test_case(FaultSettings::default(); "no faults but those of the store")]
#[test_case(FaultSettings { lost_datagram_permille: 100, datagram_delay_max_ms: 30, ..FaultSettings::default() }; "lossy network")]
#[test_case(FaultSettings { lost_response_permille: 60, response_delay_max_ms: 10, ..FaultSettings::default() }; "lost responses")]
#[test_case(FaultSettings { machine_fault_permille: 1_500, ..FaultSettings::default() }; "machine faults")]
#[test_case(FaultSettings {
    lost_datagram_permille: 30,
    datagram_delay_max_ms: 20,
    lost_response_permille: 30,
    response_delay_max_ms: 10,
    failed_task_permille: 30,
    machine_fault_permille: 3_000,
    extra_faults: &[Fault::Suspend, Fault::DisconnectCallers, Fault::FreezeAndDisconnect],
    renames_minions: true,
    ..FaultSettings::default()
}; "several faults at once")]
fn nothing_starts_in_a_zone_that_entries_know_to_be_evacuated(faults: FaultSettings) {
    for seed in seeds() {
        let mut simulation = Simulation::new(3, 2 * ZONE_COUNT, seed, faults);
        simulation.use_zones(ZONE_COUNT);
        simulation.warm_up();
        simulation.set_random_evacuations(true);
        submit_random_jobs(&mut simulation, 15_000);
        let late_starts = simulation.late_starts();
        assert!(late_starts.is_empty(), "seed {seed}: {late_starts:?}");
        let (record_count, _) = simulation.evacuation_counts();
        assert!(record_count > 1, "seed {seed}: {record_count} records");
        assert!(simulation.observations.started_count > 100, "seed {seed}");
        simulation.set_random_evacuations(false);
        simulation.return_all_zones();
        simulation.faults = FaultSettings::default();
        simulation.advance(2 * CALLER_TIMEOUT_MS);
        // Minions that drain take no tasks until they start anew.
        for minion in 0..2 * ZONE_COUNT {
            simulation.restart_minion_under_its_name(minion);
        }
        simulation.advance(RECOVERY_MS);
        assert!(
            simulation.take_all_minions_tasks(),
            "seed {seed}: a minion stays closed"
        );
        let job = simulation.submit(6, CALLER_TIMEOUT_MS);
        simulation.advance(CALLER_TIMEOUT_MS);
        simulation.assert_completed(job);
    }
}

/// All entries are killed while a zone is evacuated and know nothing of it when they start, as it has
/// been returned to service meanwhile. Guards against sidecars that stay closed because nobody
/// remembers why.
#[test]
fn zone_returns_to_service_after_all_informed_entries_have_restarted() {
    let mut simulation = Simulation::new(3, 2 * ZONE_COUNT, 5, FaultSettings::default());
    simulation.use_zones(ZONE_COUNT);
    simulation.warm_up();
    simulation.set_evacuated(1, true);
    simulation.advance(500);
    assert!(!simulation.take_all_minions_tasks());
    for entry in 0..3 {
        simulation.kill(entry, 200);
    }
    simulation.set_evacuated(1, false);
    simulation.advance(3_000);
    assert!(simulation.take_all_minions_tasks());
}

/// Guards against an evacuation that takes effect later than within the first second, and against
/// jobs that are lost by it: a third of the fleet is evacuated under half load.
#[test]
fn evacuated_zone_gets_no_more_starts_within_a_second_and_no_job_is_lost() {
    let mut simulation = Simulation::new(3, 2 * ZONE_COUNT, 11, FaultSettings::default());
    simulation.use_zones(ZONE_COUNT);
    simulation.warm_up();
    simulation.set_run_ms(100);
    let submit_jobs = |simulation: &mut Simulation, for_ms: u64| {
        for _ in 0..for_ms / 25 {
            simulation.submit(4, CALLER_TIMEOUT_MS);
            simulation.advance(25);
        }
    };
    submit_jobs(&mut simulation, 1_000);
    simulation.set_evacuated(2, true);
    submit_jobs(&mut simulation, 1_000);
    let (_, count_before) = simulation.evacuation_counts();
    submit_jobs(&mut simulation, 4_000);
    let (_, count_after) = simulation.evacuation_counts();
    assert_eq!(count_after, count_before, "starts in the evacuated zone");
    simulation.advance(2 * CALLER_TIMEOUT_MS);
    let answers: Vec<_> = simulation.observations.answers.values().flatten().collect();
    let completed = answers.iter().filter(|it| ***it == Answer::Completed);
    assert_eq!(completed.count(), answers.len(), "{answers:?}");
}

/// Guards against jobs that wait for their timeout while nothing can run them.
#[test]
fn jobs_are_refused_at_once_while_all_zones_are_evacuated() {
    let mut simulation = Simulation::new(2, 2 * ZONE_COUNT, 3, FaultSettings::default());
    simulation.use_zones(ZONE_COUNT);
    simulation.warm_up();
    for zone in 0..ZONE_COUNT {
        simulation.set_evacuated(zone, true);
    }
    simulation.advance(500);
    let job = simulation.submit(2, CALLER_TIMEOUT_MS);
    simulation.advance(20);
    let answers = simulation.observations.answers.get(&job);
    assert!(
        matches!(answers.map(Vec::as_slice), Some([Answer::Refused { .. }])),
        "{answers:?}"
    );
    simulation.return_all_zones();
    simulation.advance(500);
    let job = simulation.submit(2, CALLER_TIMEOUT_MS);
    simulation.advance(CALLER_TIMEOUT_MS);
    simulation.assert_completed(job);
}

/// Guards against draws of the operator that change the days of seeds without zones, and against
/// days with zones that do not repeat.
#[test]
fn days_with_zones_repeat() {
    let play = |seed| {
        let faults = FaultSettings {
            machine_fault_permille: 1_500,
            ..FaultSettings::default()
        };
        let mut simulation = Simulation::new(3, 2 * ZONE_COUNT, seed, faults);
        simulation.begin_trace_digest();
        simulation.use_zones(ZONE_COUNT);
        simulation.warm_up();
        simulation.set_random_evacuations(true);
        submit_random_jobs(&mut simulation, 8_000);
        simulation
    };
    for seed in 1..=3 {
        let (first, other) = (play(seed), play(seed));
        assert_eq!(first.trace_digests().last(), other.trace_digests().last());
    }
}
