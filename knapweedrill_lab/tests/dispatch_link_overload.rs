//! One entry behind a link that is too narrow for the jobs that it is offered, on a simulated system.

mod dispatch_simulation;

use dispatch_simulation::link_rate::LinkRate;
use dispatch_simulation::{FaultSettings, Simulation};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::Answer;
use rand::RngExt;
use test_case::test_case;

const SIDECAR_COUNT: usize = 55;

/// The rate of the link of the entry.
const LINK_BITS_PER_S: u64 = 25_000_000;

/// The bytes that may wait at a link with a long queue; eight seconds.
const LONG_QUEUE_BYTES: u64 = 25_000_000;

/// The bytes that may wait at a link with a short queue; 40 ms.
const SHORT_QUEUE_BYTES: u64 = 125_000;

/// The longest time in milliseconds that a datagram may wait for a link whose rate is known.
const LINK_WAIT_MAX_MS: u64 = 35;

/// The run time of tasks, in milliseconds.
const RUN_MS: u64 = 40;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// The interval for which served jobs are counted, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// The number of intervals that are counted before a burst, and after it.
const USUAL_INTERVAL_COUNT: usize = 10;

/// The number of intervals in a burst.
const BURST_INTERVAL_COUNT: usize = 8;

/// The number of intervals that are not counted after a change of the load. Longer than the timeout
/// of callers, so that no job of the load before is left.
const SETTLING_INTERVAL_COUNT: usize = 2;

/// The number of jobs a second whose start orders fit into the link.
const LINK_JOBS_PER_S: u64 = 710;

/// The bytes of an answer to a caller, with headers and the acknowledgement of the request.
const ANSWER_BYTES: u64 = 360;

/// Jobs submitted in one interval.
#[derive(Debug)]
struct Interval {
    jobs: Vec<JobName>,
}

/// Submits jobs at a rate for one interval.
fn submit_jobs(simulation: &mut Simulation, jobs_per_s: u64) -> Interval {
    let mut jobs = Vec::new();
    let mut due_permille = 0;
    for _ in 0..INTERVAL_MS {
        due_permille += jobs_per_s;
        while due_permille >= 1_000 {
            due_permille -= 1_000;
            let spec_bytes = match simulation.random().random_range(0..20) {
                0 => simulation.random().random_range(1_000..=4_000),
                _ => simulation.random().random_range(300..=1_000),
            };
            let task_count = simulation.random().random_range(2..=8);
            simulation.set_spec_bytes(spec_bytes);
            jobs.push(simulation.submit(task_count, CALLER_TIMEOUT_MS));
        }
        simulation.advance(1);
    }
    Interval { jobs }
}

/// Returns how many jobs of an interval were completed.
fn served_count(simulation: &Simulation, interval: &Interval) -> usize {
    let answers = &simulation.observations.answers;
    let is_served = |job: &&JobName| {
        answers
            .get(job)
            .is_some_and(|answers| answers.contains(&Answer::Completed))
    };
    interval.jobs.iter().filter(is_served).count()
}

/// Returns how many jobs of each interval were completed, for intervals with these rates.
fn play(rates_jobs_per_s: &[u64], queue_bytes_max: u64, settings: Settings) -> Vec<usize> {
    let mut simulation = Simulation::new(1, SIDECAR_COUNT, 1, FaultSettings::default());
    simulation.set_run_ms(RUN_MS);
    let rate = LinkRate {
        bits_per_s: LINK_BITS_PER_S,
        queue_bytes_max,
        answer_bytes: match settings {
            Settings::Rate => ANSWER_BYTES,
            Settings::NoRate => 0,
        },
    };
    if settings == Settings::Rate {
        simulation.set_known_link_rate(0, rate);
    }
    simulation.warm_up();
    if settings == Settings::NoRate {
        simulation.set_link_rate(0, rate);
    }
    let mut intervals = Vec::new();
    for jobs_per_s in rates_jobs_per_s {
        intervals.push(submit_jobs(&mut simulation, *jobs_per_s));
    }
    simulation.advance(CALLER_TIMEOUT_MS);
    let link_use = simulation.link_use(0);
    println!("{link_use:?}");
    if settings == Settings::Rate {
        assert_eq!(link_use.dropped_bytes, 0, "{link_use:?}");
        assert!(link_use.wait_max_ms <= LINK_WAIT_MAX_MS, "{link_use:?}");
    }
    let intervals = intervals.iter();
    intervals
        .map(|interval| served_count(&simulation, interval))
        .collect()
}

/// Returns nine tenths of the jobs a second that can be served of those that are submitted. Answers
/// take a part of the link, refusals too.
fn carried_min(jobs_per_s: u64, settings: Settings) -> usize {
    let orders_permille = match settings {
        Settings::Rate => 1_000 - jobs_per_s * ANSWER_BYTES * 8_000 / LINK_BITS_PER_S,
        Settings::NoRate => 1_000,
    };
    let carried = LINK_JOBS_PER_S * orders_permille / 1_000;
    jobs_per_s.min(carried) as usize * 9 / 10
}

fn mean(counts: &[usize]) -> usize {
    counts.iter().sum::<usize>() / counts.len()
}

/// What the settings of the entry say of its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Settings {
    Rate,
    NoRate,
}

/// Guards against a link that stays full of void orders and of repeats: the load that was served
/// before a burst must be served again soon after it, and a burst must not lower what is served.
#[test_case(300, 2, LONG_QUEUE_BYTES, Settings::NoRate; "less than half of what the link carries, doubled")]
#[test_case(300, 4, LONG_QUEUE_BYTES, Settings::NoRate; "less than half of what the link carries, four times")]
#[test_case(300, 10, LONG_QUEUE_BYTES, Settings::NoRate; "less than half of what the link carries, ten times")]
#[test_case(850, 2, LONG_QUEUE_BYTES, Settings::NoRate; "more than the link carries, doubled")]
#[test_case(850, 4, LONG_QUEUE_BYTES, Settings::NoRate; "more than the link carries, four times")]
#[test_case(300, 2, LONG_QUEUE_BYTES, Settings::Rate; "known rate, long queue, less than half, doubled")]
#[test_case(300, 4, LONG_QUEUE_BYTES, Settings::Rate; "known rate, long queue, less than half, four times")]
#[test_case(300, 10, LONG_QUEUE_BYTES, Settings::Rate; "known rate, long queue, less than half, ten times")]
#[test_case(850, 2, LONG_QUEUE_BYTES, Settings::Rate; "known rate, long queue, more, doubled")]
#[test_case(850, 4, LONG_QUEUE_BYTES, Settings::Rate; "known rate, long queue, more, four times")]
#[test_case(300, 2, SHORT_QUEUE_BYTES, Settings::Rate; "known rate, short queue, less than half, doubled")]
#[test_case(300, 4, SHORT_QUEUE_BYTES, Settings::Rate; "known rate, short queue, less than half, four times")]
#[test_case(300, 10, SHORT_QUEUE_BYTES, Settings::Rate; "known rate, short queue, less than half, ten times")]
#[test_case(850, 2, SHORT_QUEUE_BYTES, Settings::Rate; "known rate, short queue, more, doubled")]
#[test_case(850, 4, SHORT_QUEUE_BYTES, Settings::Rate; "known rate, short queue, more, four times")]
fn usual_load_is_served_again_after_a_burst(
    usual_jobs_per_s: u64,
    factor: u64,
    queue_bytes_max: u64,
    settings: Settings,
) {
    let usual = [usual_jobs_per_s; SETTLING_INTERVAL_COUNT + USUAL_INTERVAL_COUNT];
    let burst = [usual_jobs_per_s * factor; BURST_INTERVAL_COUNT];
    let served = play(
        &[&usual[..], &burst, &usual].concat(),
        queue_bytes_max,
        settings,
    );
    println!("{usual_jobs_per_s} jobs/s times {factor}: served {served:?}");
    let (before, rest) = served.split_at(usual.len());
    let (during, after) = rest.split_at(BURST_INTERVAL_COUNT);
    // The first interval of a load that is too high serves more than the link carries, as its last
    // jobs are sent in the next one.
    let before = &before[SETTLING_INTERVAL_COUNT..];
    let after = &after[SETTLING_INTERVAL_COUNT..];
    // A mean of three intervals of a link that is full varies by several percent.
    let soon_min_percent = if usual_jobs_per_s < LINK_JOBS_PER_S {
        95
    } else {
        90
    };
    assert!(
        mean(&after[..3]) * 100 >= mean(before) * soon_min_percent,
        "served {before:?} before the burst and {after:?} after it"
    );
    let usual_min = carried_min(usual_jobs_per_s, settings);
    let burst_min = match settings {
        Settings::Rate => carried_min(usual_jobs_per_s * factor, settings),
        Settings::NoRate => usual_min,
    };
    assert!(mean(before) >= usual_min, "before the burst: {before:?}");
    assert!(mean(during) >= burst_min, "in the burst: {during:?}");
    assert!(
        mean(after) * 100 >= mean(before) * 95,
        "served {before:?} before the burst and {after:?} after it"
    );
}
