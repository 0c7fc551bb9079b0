//! How many jobs complete while minions leave calls unanswered, at half of the load that they can
//! take.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Simulation};
use knapweedrill::dispatch::entry::Answer;
use rand::RngExt;
use test_case::test_case;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 2_500;

/// How long jobs are submitted, in milliseconds.
const LOAD_MS: u64 = 10_000;

/// Submits jobs of one to five tasks and returns the share of them that completed with their first
/// answer.
fn completed_share(seed: u64, faults: FaultSettings) -> f64 {
    let mut simulation = Simulation::new(3, 5, seed, faults);
    simulation.warm_up();
    let end_ms = simulation.now_ms() + LOAD_MS;
    let mut jobs = Vec::new();
    while simulation.now_ms() < end_ms {
        let run_ms = [60, 200, 700][simulation.random().random_range(0..3)];
        simulation.set_run_ms(run_ms);
        let tasks = simulation.random().random_range(1..6);
        jobs.push(simulation.submit(tasks, CALLER_TIMEOUT_MS));
        let pause_ms = simulation.random().random_range(5..120);
        simulation.advance(pause_ms);
    }
    simulation.faults = FaultSettings::default();
    simulation.advance(2 * CALLER_TIMEOUT_MS);
    let answers = &simulation.observations.answers;
    let completed = jobs.iter().filter(|job| {
        answers.get(job).and_then(|answers| answers.first()) == Some(&Answer::Completed)
    });
    completed.count() as f64 / jobs.len() as f64
}

/// Half of the calls are carried out seconds late, without an answer.
#[test_case(50, 0.97; "one in twenty")]
#[test_case(250, 0.95; "a quarter")]
#[test_case(500, 0.90; "half of the orders unanswered")]
fn jobs_complete_while_orders_are_carried_out_late(delayed_call_permille: u32, share_min: f64) {
    let faults = FaultSettings {
        delayed_call_permille,
        ..FaultSettings::default()
    };
    for seed in 1..=3 {
        let share = completed_share(seed, faults);
        assert!(share >= share_min, "seed {seed}: {share:.3}");
    }
}

/// The minions carry the calls out and their answers are lost.
#[test_case(250, 0.95; "a quarter")]
#[test_case(500, 0.90; "half")]
fn jobs_complete_while_answers_are_lost(lost_response_permille: u32, share_min: f64) {
    let faults = FaultSettings {
        lost_response_permille,
        ..FaultSettings::default()
    };
    for seed in 1..=3 {
        let share = completed_share(seed, faults);
        assert!(share >= share_min, "seed {seed}: {share:.3}");
    }
}
