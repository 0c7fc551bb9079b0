//! Who is served while more is asked for than the minions can do.
//!
//! All tasks take one core. The shares of jobs are printed, for comparison with other rules.

mod dispatch_simulation;

use dispatch_simulation::shortage::{PlayedJob, core_seconds};
use dispatch_simulation::{FaultSettings, Simulation};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{Answer, EntrySettings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The number of minions.
const MINION_COUNT: usize = 12;

/// The cores of all minions.
const CORES: f64 = 72.0;

/// The shares of the priorities in the work that is asked for.
const MIX: [f64; 3] = [0.4, 0.4, 0.2];

/// How long jobs are submitted, in milliseconds.
const LOAD_MS: u64 = 4_000;

/// Returns the settings of an entry that decides as before the rules for shortages.
fn settings_without_rules() -> EntrySettings {
    EntrySettings {
        counts_work_ahead: false,
        keeps_floors: false,
        counts_drain_rate: false,
        admits_into_free_capacity: false,
        predicts_retry_after: false,
        ..EntrySettings::default()
    }
}

/// Starts entries and sidecars, and configures one queue for each priority.
fn start(entry_count: usize, seed: u64, settings: EntrySettings) -> Simulation {
    let faults = FaultSettings::default();
    let mut simulation =
        Simulation::with_entry_settings(entry_count, MINION_COUNT, seed, faults, settings);
    simulation.use_priorities();
    simulation.warm_up();
    simulation
}

/// Plays a load on eight seeds and returns the jobs of all plays. `load` returns the part of all cores
/// that an entry and a priority ask for, at a time in milliseconds.
fn play(
    entry_count: usize,
    settings: EntrySettings,
    load: impl Fn(usize, usize, u64) -> f64,
) -> Vec<PlayedJob> {
    let jobs_per_s =
        |entry, priority, at_ms| CORES * load(entry, priority, at_ms) / core_seconds(priority);
    (1..=8)
        .flat_map(|seed| start(entry_count, seed, settings).play(LOAD_MS, jobs_per_s))
        .collect()
}

/// Returns the part of the jobs that a test counts.
fn share(jobs: &[PlayedJob], is_counted: impl Fn(&PlayedJob) -> bool) -> f64 {
    jobs.iter().filter(|job| is_counted(job)).count() as f64 / jobs.len().max(1) as f64
}

/// Returns the jobs that a test selects.
fn select(jobs: &[PlayedJob], is_selected: impl Fn(&PlayedJob) -> bool) -> Vec<PlayedJob> {
    jobs.iter()
        .filter(|job| is_selected(job))
        .copied()
        .collect()
}

fn of_priority(jobs: &[PlayedJob], priority: usize) -> Vec<PlayedJob> {
    select(jobs, |job| job.priority == priority)
}

fn is_late(job: &PlayedJob) -> bool {
    job.is_completed() && !job.is_in_time()
}

fn value(jobs: &[PlayedJob]) -> f64 {
    jobs.iter().map(PlayedJob::value).sum::<f64>() / jobs.len().max(1) as f64
}

/// Returns the CPU time of the completed jobs, in core seconds.
fn completed_core_seconds(jobs: &[PlayedJob]) -> f64 {
    let completed = jobs.iter().filter(|job| job.is_completed());
    completed.map(|job| core_seconds(job.priority)).sum()
}

/// Prints what became of the jobs of each priority.
fn print(name: &str, jobs: &[PlayedJob]) {
    println!("{name}: {} jobs, value {:.3}", jobs.len(), value(jobs));
    for priority in 0..3 {
        let jobs = of_priority(jobs, priority);
        println!(
            "  priority {priority}: {} jobs, in time {:.3}, late {:.3}, refused {:.3}",
            jobs.len(),
            share(&jobs, PlayedJob::is_in_time),
            share(&jobs, is_late),
            share(&jobs, PlayedJob::is_refused),
        );
    }
}

/// Returns the part of the refused jobs of priorities 0 and 1 after which, within 50 ms, a less urgent
/// job arrived at the same entry and was served.
fn overtaken_share(jobs: &[PlayedJob]) -> f64 {
    let refused = select(jobs, |job| job.priority < 2 && job.is_refused());
    share(&refused, |urgent| {
        jobs.iter().any(|job| {
            let after_ms = job.submitted_at_ms.checked_sub(urgent.submitted_at_ms);
            job.entry == urgent.entry
                && job.priority > urgent.priority
                && job.is_completed()
                && after_ms.is_some_and(|after_ms| (1..=50).contains(&after_ms))
        })
    })
}

/// A burst of long jobs of priority 2 for 1.5 s, then of all kinds for 1.5 s.
fn burst_of_long_jobs_then_of_all(_: usize, priority: usize, at_ms: u64) -> f64 {
    let factor = match at_ms {
        500..2_000 if priority == 2 => 4.0,
        2_000..3_500 => 2.0,
        _ => 0.6,
    };
    factor * MIX[priority] / 4.0
}

/// Guards against urgent jobs that are refused because long jobs wait that they overtake, and against
/// less urgent jobs that are admitted meanwhile: a burst of long jobs, then of all kinds. Floors, which
/// admit some less urgent jobs on purpose, are off.
#[test]
fn urgent_jobs_are_not_refused_for_long_ones_that_they_overtake() {
    let without_floors = EntrySettings {
        keeps_floors: false,
        ..EntrySettings::default()
    };
    let before = play(4, settings_without_rules(), burst_of_long_jobs_then_of_all);
    let jobs = play(4, without_floors, burst_of_long_jobs_then_of_all);
    print("long jobs, then all, without the rules", &before);
    print("long jobs, then all, without floors", &jobs);
    let with_floors = play(4, floors(), burst_of_long_jobs_then_of_all);
    print("long jobs, then all", &with_floors);
    println!(
        "  overtaken {:.3}, {:.3}, {:.3}",
        overtaken_share(&before),
        overtaken_share(&jobs),
        overtaken_share(&with_floors)
    );
    let refused = |jobs: &[PlayedJob]| share(&of_priority(jobs, 1), PlayedJob::is_refused);
    assert!(refused(&jobs) <= refused(&before) - 0.03);
    assert!(refused(&with_floors) <= refused(&before) - 0.03);
    assert!(overtaken_share(&jobs) <= overtaken_share(&before) - 0.03);
}

/// Returns settings with which each priority that has waiting work keeps its floor.
fn floors() -> EntrySettings {
    EntrySettings {
        keeps_floors: true,
        ..EntrySettings::default()
    }
}

/// Guards against a priority that starves: priority 1 alone asks for 120 % of the cores, priority 2 for
/// 10 % and priority 0 for 8 %.
#[test]
fn lower_priority_is_served_and_higher_one_not_delayed_while_one_asks_for_too_much() {
    let load = |_: usize, priority: usize, _: u64| [0.02, 0.3, 0.025][priority];
    let without_floors = EntrySettings {
        keeps_floors: false,
        ..EntrySettings::default()
    };
    let before = play(4, without_floors, load);
    let jobs = play(4, floors(), load);
    print("too much of priority 1, without floors", &before);
    print("too much of priority 1", &jobs);
    let in_time = |jobs, priority| share(&of_priority(jobs, priority), PlayedJob::is_in_time);
    assert!(in_time(&jobs, 2) >= 0.55);
    assert!(in_time(&before, 2) <= 0.45, "the floors change nothing");
    assert!(in_time(&jobs, 0) >= in_time(&before, 0) - 0.05);
    assert!(share(&of_priority(&jobs, 0), PlayedJob::is_refused) <= 0.03);
}

/// Guards against refusals at an entry with four times the callers of the seven others, while sidecars
/// have capacity that these do not use: together they ask for 122 % of the cores.
#[test]
fn busy_entry_refuses_about_as_many_as_its_peers() {
    let load = |entry: usize, priority: usize, _: u64| {
        MIX[priority] * if entry == 0 { 0.45 } else { 0.11 }
    };
    let jobs = play(8, EntrySettings::default(), load);
    print("one entry with four times the callers", &jobs);
    let busy = share(&select(&jobs, |job| job.entry == 0), PlayedJob::is_refused);
    let others = share(&select(&jobs, |job| job.entry != 0), PlayedJob::is_refused);
    println!("  refused {busy:.3} at the busy one, {others:.3} at the others");
    assert!(busy <= others * 1.5 && others <= busy * 1.5);
}

/// Guards against an entry that is left with the share of its idle past: among six entries, the demand
/// moves from one to another every 300 ms, and asks for 90 % of the cores.
#[test]
fn share_follows_a_demand_that_moves_between_entries() {
    let load = |entry: usize, priority: usize, at_ms: u64| {
        let busy_entry = (at_ms / 300 % 2) as usize;
        MIX[priority] * if entry == busy_entry { 0.8 } else { 0.02 }
    };
    let by_share_only = EntrySettings {
        counts_drain_rate: false,
        ..EntrySettings::default()
    };
    let before = play(6, by_share_only, load);
    let jobs = play(6, EntrySettings::default(), load);
    print("demand moves, share only", &before);
    print("demand moves", &jobs);
    let refused = |jobs: &[PlayedJob]| share(jobs, PlayedJob::is_refused);
    println!(
        "  refused {:.3} and {:.3}",
        refused(&before),
        refused(&jobs)
    );
    // Both are equal but for the noise: the rule shows its gain with idle peers, below 300 ms it has none.
    assert!(refused(&jobs) <= refused(&before) + 0.01);
    assert!(value(&jobs) >= value(&before) - 0.01);
    assert!(refused(&jobs) <= 0.1);
}

/// Guards against work that is done in vain: half as much again as fits, and two and a half times as
/// much.
#[test]
fn shortage_serves_as_much_as_a_fleet_that_is_just_full() {
    let served = |factor: f64| {
        let load = |_: usize, priority: usize, _: u64| factor * MIX[priority] / 4.0;
        let jobs = play(4, EntrySettings::default(), load);
        print(&format!("{factor} times the cores"), &jobs);
        completed_core_seconds(&jobs)
    };
    let just_full = served(1.0);
    for factor in [1.5, 2.5] {
        let served = served(factor);
        println!("  {:.3} of a full fleet", served / just_full);
        assert!(served >= 0.95 * just_full);
    }
}

/// Guards against refusals while minions are free: ten urgent jobs of 900 ms wait for the rack of one
/// minion.
#[test]
fn job_is_not_refused_while_minions_are_free_for_it() {
    let completed_count = |admits_into_free_capacity| {
        let settings = EntrySettings {
            admits_into_free_capacity,
            keeps_floors: false,
            ..EntrySettings::default()
        };
        let mut simulation = start(1, 1, settings);
        simulation.set_run_ms(900);
        for _ in 0..10 {
            simulation.submit_to("/short/", 4, 1_500, |step| {
                step.required_label = Some("rack-3".into());
            });
        }
        simulation.set_run_ms(200);
        simulation.advance(20);
        let jobs: Vec<JobName> = (0..5)
            .map(|_| simulation.submit_to("/middle/", 4, 1_500, |_| {}))
            .collect();
        simulation.advance(1_000);
        let answers = &simulation.observations.answers;
        let is_completed = |job: &&JobName| answers.get(job) == Some(&vec![Answer::Completed]);
        jobs.iter().filter(is_completed).count()
    };
    assert_eq!(completed_count(true), 5);
    assert!(completed_count(false) < 5, "the rule changes nothing");
}

/// Guards against queues that starve, on random loads of 1.2 to 3 times the cores.
#[test]
fn no_priority_starves_under_random_loads() {
    for seed in 0..16 {
        let mut random = SmallRng::seed_from_u64(seed);
        let weights: [f64; 3] = std::array::from_fn(|_| random.random_range(0.1..1.0));
        let factor = random.random_range(1.2..3.0);
        let sum: f64 = weights.iter().sum();
        let loads = weights.map(|weight| factor * weight / sum);
        let jobs_per_s = |_: usize, priority: usize, _: u64| {
            CORES * loads[priority] / 4.0 / core_seconds(priority)
        };
        let jobs = start(4, seed, floors()).play(LOAD_MS, jobs_per_s);
        for (priority, asked) in loads.into_iter().enumerate() {
            let served = completed_core_seconds(&of_priority(&jobs, priority));
            let part = served / CORES / (LOAD_MS as f64 / 1_000.0);
            println!("seed {seed}: priority {priority} asks for {asked:.2}, gets {part:.2}");
            // The floor is of what is placed. Of priority 2, callers leave before a part is completed.
            let floor = asked.min(0.2);
            assert!(
                part >= floor / 3.0,
                "seed {seed}, priority {priority}: {part:.3}"
            );
        }
    }
}

/// Guards against state that outlives what it describes: during a shortage one entry restarts and a
/// third of the sidecars disappears; afterwards less is asked for than fits on the rest.
#[test]
fn failures_during_a_shortage_leave_the_rest_served() {
    for seed in 1..=4 {
        let mut simulation = start(4, seed, EntrySettings::default());
        let load = |factor: f64| {
            move |_: usize, priority: usize, _: u64| {
                CORES * factor * MIX[priority] / 4.0 / core_seconds(priority)
            }
        };
        let mut jobs = simulation.play(1_000, load(1.5));
        simulation.kill(0, 500);
        for minion in 0..MINION_COUNT / 3 {
            let node = simulation.sidecar_node(minion);
            simulation.isolate(node, 60_000);
        }
        jobs.extend(simulation.play(1_500, load(1.5)));
        let served_before = share(&jobs, PlayedJob::is_completed);
        let later = simulation.play(2_000, load(0.35));
        print(&format!("seed {seed}, after the failures"), &later);
        println!("  completed before {served_before:.3}");
        assert!(share(&later, PlayedJob::is_in_time) >= 0.95);
        let is_answered = |job: &PlayedJob| matches!(job.answered, Some((answer, _)) if answer != Answer::NoQueue);
        assert!(later.iter().all(is_answered));
    }
}
