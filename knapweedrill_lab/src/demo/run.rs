//! Runs the demo.

use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::report::percentiles_ms;
use super::{DemoReport, QueueReport};
use crate::harness::PlatformSite;
use crate::stand_in::platform::{MinionFaults, StoreFault};

const ENTRY_COUNT: u8 = 3;
const MINION_COUNT: u8 = 6;

/// The number of callers of each queue.
const CALLERS_PER_QUEUE: u64 = 4;

/// The queues: the name, the number of tasks of a job and the run time of a task in milliseconds.
const QUEUES: [(&str, u32, u64); 3] = [("urgent", 6, 40), ("normal", 2, 150), ("bulk", 3, 500)];

/// The HTTP status of a job that was refused before any of its tasks ran.
const REFUSED_STATUS: u16 = 503;

/// The options of the demo.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// The time during which callers submit jobs.
    pub duration: Duration,
    /// The seed of the random choices of callers.
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

/// The outcome of one job, as its caller observed it.
struct JobResult {
    queue: usize,
    job: u64,
    status: Option<u16>,
    is_completed: bool,
    response_time: Duration,
}

/// Runs the demo and returns its findings.
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
    let mut results = Vec::new();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS_PER_QUEUE * QUEUES.len() as u64)
            .map(|caller| {
                let site = &site;
                scope.spawn(move || run_caller(site, caller, options.seed, end))
            })
            .collect();
        let injected = inject_faults(&site, options.duration, sidecar);
        for caller in callers {
            results.extend(caller.join().expect("callers do not panic"));
        }
        injected
    })?;
    site.start_sidecar(1)?;
    Ok(report(&site, &results))
}

fn run_caller(site: &PlatformSite, caller: u64, seed: u64, end: Instant) -> Vec<JobResult> {
    let mut random = SmallRng::seed_from_u64(seed << 8 | caller);
    let queue = usize::try_from(caller).unwrap_or(0) % QUEUES.len();
    let (name, tasks, run_ms) = QUEUES[queue];
    let mut results = Vec::new();
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
        results.push(JobResult {
            queue,
            job,
            status: answer.as_ref().map(|answer| answer.status),
            is_completed: answer.is_some_and(|answer| answer.body.contains("completed")),
            response_time: begin.elapsed(),
        });
        thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    results
}

/// Injects faults into a site, one after the other, at intervals of a sixth of the duration.
fn inject_faults(site: &PlatformSite, duration: Duration, sidecar: u32) -> Result<()> {
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

fn report(site: &PlatformSite, results: &[JobResult]) -> DemoReport {
    let runs: Vec<_> = site
        .minions
        .iter()
        .flat_map(|minion| minion.runs())
        .collect();
    let started: HashSet<u64> = runs.iter().map(|(task, ..)| task.job.0).collect();
    let refused = results
        .iter()
        .filter(|result| result.status == Some(REFUSED_STATUS));
    let untrue_refusals = refused.filter(|result| started.contains(&result.job));
    DemoReport {
        queues: (0..QUEUES.len())
            .map(|queue| queue_report(queue, results))
            .collect(),
        run_count: runs.len(),
        overlapping_runs: site.overlapping_runs(),
        untrue_refusals: untrue_refusals
            .map(|result| format!("{:016x}", result.job))
            .collect(),
        store_call_count: site.store.call_count(),
    }
}

fn queue_report(queue: usize, results: &[JobResult]) -> QueueReport {
    let all: Vec<_> = results
        .iter()
        .filter(|result| result.queue == queue)
        .collect();
    let completed: Vec<_> = all
        .iter()
        .filter(|result| result.is_completed)
        .map(|result| result.response_time)
        .collect();
    let refused_count = all
        .iter()
        .filter(|result| result.status == Some(REFUSED_STATUS))
        .count();
    let (median_ms, p99_ms) = percentiles_ms(&completed);
    QueueReport {
        queue: QUEUES[queue].0.to_owned(),
        asked_count: all.len(),
        completed_count: completed.len(),
        refused_count,
        failed_count: all.len() - completed.len() - refused_count,
        median_ms,
        p99_ms,
    }
}
