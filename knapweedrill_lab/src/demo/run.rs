//! Runs the demo from start to end.

use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::report::percentiles_ms;
use super::{DemoReport, QueueLine};
use crate::harness::PlatformSite;
use crate::stand_in::platform::{MinionFaults, StoreFault};

const ENTRY_COUNT: u8 = 3;
const MINION_COUNT: u8 = 6;

/// The callers of each queue.
const CALLER_COUNT: u64 = 4;

/// The queues: name, tasks of a job, and how long each runs.
const QUEUES: [(&str, u32, u64); 3] = [("urgent", 6, 40), ("normal", 2, 150), ("bulk", 3, 500)];

/// The status that says that nothing has run.
const REFUSED: u16 = 503;

/// How the demo runs.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// How long callers submit jobs.
    pub duration: Duration,
    /// What random choices start from.
    pub seed: u64,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// What became of one job.
struct Outcome {
    queue: usize,
    job: u64,
    status: Option<u16>,
    is_completed: bool,
    time: Duration,
}

/// Runs the demo and tells what it found.
///
/// # Errors
///
/// Returns an error if the site can't be started or a process can't be controlled.
pub fn run(options: &DemoOptions) -> Result<DemoReport> {
    let mut site = PlatformSite::start(ENTRY_COUNT, MINION_COUNT)?;
    site.configure(1)?;
    let begin = Instant::now();
    let end = begin + options.duration;
    let sidecar = site.sidecar_id(1).unwrap_or_default();
    let mut outcomes = Vec::new();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT * QUEUES.len() as u64)
            .map(|caller| {
                let site = &site;
                scope.spawn(move || call_until(site, caller, options.seed, end))
            })
            .collect();
        let disturbed = disturb(&site, options.duration, sidecar);
        for caller in callers {
            outcomes.extend(caller.join().expect("callers do not panic"));
        }
        disturbed
    })?;
    site.start_sidecar(1)?;
    Ok(report(&site, &outcomes))
}

fn call_until(site: &PlatformSite, caller: u64, seed: u64, end: Instant) -> Vec<Outcome> {
    let mut random = SmallRng::seed_from_u64(seed << 8 | caller);
    let queue = usize::try_from(caller).unwrap_or(0) % QUEUES.len();
    let (name, tasks, run_ms) = QUEUES[queue];
    let mut outcomes = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let job = caller << 32 | number;
        let entry = random.random_range(0..usize::from(ENTRY_COUNT));
        let begin = Instant::now();
        let answer = site
            .submit(entry, &format!("/{name}/{job:016x}"), tasks, run_ms)
            .ok();
        outcomes.push(Outcome {
            queue,
            job,
            status: answer.as_ref().map(|answer| answer.status),
            is_completed: answer.is_some_and(|answer| answer.body.contains("completed")),
            time: begin.elapsed(),
        });
        thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    outcomes
}

/// Brings trouble to a site, one kind after the other.
fn disturb(site: &PlatformSite, duration: Duration, sidecar: u32) -> Result<()> {
    let step = duration / 6;
    thread::sleep(step);
    site.minions[0].set_faults(MinionFaults {
        delayed_start_permille: 50,
        lost_response_permille: 50,
        ..MinionFaults::default()
    });
    thread::sleep(step);
    let id = i32::try_from(sidecar).wrap_err("the process id is out of range")?;
    if let Some(id) = rustix::process::Pid::from_raw(id) {
        rustix::process::kill_process(id, rustix::process::Signal::KILL)
            .wrap_err("can't kill a sidecar")?;
    }
    thread::sleep(step);
    site.store.set_fault(StoreFault::NoResponse);
    thread::sleep(step);
    site.store.set_fault(StoreFault::None);
    site.write_configuration(2, &["/urgent/", "/normal/", "/bulk/", "/new/"]);
    site.minions[2].drain();
    Ok(())
}

fn report(site: &PlatformSite, outcomes: &[Outcome]) -> DemoReport {
    let runs: Vec<_> = site
        .minions
        .iter()
        .flat_map(|minion| minion.runs())
        .collect();
    let begun: HashSet<u64> = runs.iter().map(|(task, ..)| task.job.0).collect();
    let refused = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(REFUSED));
    let untrue = refused.filter(|outcome| begun.contains(&outcome.job));
    DemoReport {
        queues: (0..QUEUES.len())
            .map(|queue| line(queue, outcomes))
            .collect(),
        run_count: runs.len(),
        overlapping_runs: site.overlapping_runs(),
        untrue_refusals: untrue
            .map(|outcome| format!("{:016x}", outcome.job))
            .collect(),
        store_call_count: site.store.call_count(),
    }
}

fn line(queue: usize, outcomes: &[Outcome]) -> QueueLine {
    let all: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.queue == queue)
        .collect();
    let completed: Vec<_> = all
        .iter()
        .filter(|outcome| outcome.is_completed)
        .map(|outcome| outcome.time)
        .collect();
    let refused_count = all
        .iter()
        .filter(|outcome| outcome.status == Some(REFUSED))
        .count();
    let (median_ms, p99_ms) = percentiles_ms(&completed);
    QueueLine {
        queue: QUEUES[queue].0.to_owned(),
        asked_count: all.len(),
        completed_count: completed.len(),
        refused_count,
        failed_count: all.len() - completed.len() - refused_count,
        median_ms,
        p99_ms,
    }
}
