//! How the cost of an entry grows.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use knapweedrill::contract::OwnerToken;

use super::bench::{Bench, configuration};
use super::{FakeMinion, FakePeer, Scale, Series};
use crate::harness::{EntryApi, JobRequest};
use crate::stand_in::minion::TaskPayload;

/// The tasks of the largest jobs.
const LARGE_JOB_TASKS: usize = 440;

/// The minions that take part where their number does not matter.
const SOME_MINIONS: usize = 10;

/// The tasks of a job of the steady load, and how many callers submit them.
const LOAD_JOB_TASKS: usize = 40;
const LOAD_CALLERS: usize = 4;

/// How many callers submit jobs of one task.
const SINGLE_CALLERS: usize = 16;

/// The bytes that a task of the lab carries besides its numbers.
const ECHO: &str = "die proof 0123456789";

/// The time that a new generation of owner tokens takes to be told to callers.
const TOKEN_SETTLE: Duration = Duration::from_millis(100);

pub(super) fn minions(scale: &Scale) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 2))?;
    let mut peers = Vec::new();
    let mut series = Series::new();
    for size in scale.sizes(&[20, 80, 140, 200]) {
        add_minions(&bench, &mut peers, size, FakeMinion::Full)?;
        series.push((size as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

pub(super) fn entries(scale: &Scale) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 2))?;
    let mut peers: Vec<FakePeer> = Vec::new();
    let mut series = Series::new();
    for size in scale.sizes(&[2, 4, 6, 8]) {
        while peers.len() < size {
            peers.push(FakePeer::entry(bench.link_address(), size)?);
        }
        bench.wait_for("membership.entries", size as u64)?;
        series.push((size as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

/// Teams that each have work waiting; the numbers change all the time.
pub(super) fn teams(scale: &Scale) -> Result<Series> {
    let mut series = Series::new();
    for size in scale.sizes(&[8, 24, 48, 72]) {
        let bench = Bench::entry(&configuration(72, 2))?;
        let mut peers = Vec::new();
        add_minions(&bench, &mut peers, SOME_MINIONS, FakeMinion::Full)?;
        let load = Load::new(&bench)?;
        for team in 0..size {
            load.submit(team, &format!("first-{team}"), 1)?;
        }
        let is_stopped = AtomicBool::new(false);
        let observed = thread::scope(|scope| {
            scope.spawn(|| load.add_work_until(&is_stopped, size));
            let observed = scale.observe(&bench);
            is_stopped.store(true, Ordering::Relaxed);
            observed
        })?;
        series.push((size as f64, observed));
    }
    Ok(series)
}

pub(super) fn queued_tasks(scale: &Scale) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 2))?;
    let mut peers = Vec::new();
    add_minions(&bench, &mut peers, SOME_MINIONS, FakeMinion::Full)?;
    let load = Load::new(&bench)?;
    let mut job_count = 0;
    let mut series = Series::new();
    for size in scale.sizes(&[4_400, 22_000, 44_000, 66_000]) {
        while job_count * LARGE_JOB_TASKS < size {
            load.submit(0, &format!("job-{job_count}"), LARGE_JOB_TASKS)?;
            job_count += 1;
        }
        bench.wait_for("queue.tasks", size as u64)?;
        series.push((size as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

/// Jobs of one task that a minion has and does not end.
pub(super) fn jobs_in_flight(scale: &Scale) -> Result<Series> {
    single_task_jobs(scale, FakeMinion::Silent, "jobs.in_flight")
}

/// Jobs of one task that have ended, so that their keys and answers are kept.
pub(super) fn kept_keys(scale: &Scale) -> Result<Series> {
    single_task_jobs(scale, FakeMinion::Prompt, "jobs.completed")
}

fn single_task_jobs(scale: &Scale, minion: FakeMinion, metric: &str) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 2))?;
    let mut peers = Vec::new();
    add_minions(&bench, &mut peers, SOME_MINIONS, minion)?;
    let load = Load::new(&bench)?;
    let mut job_count = 0;
    let mut series = Series::new();
    for size in scale.sizes(&[500, 1_500, 3_000, 4_500]) {
        load.submit_single(job_count..size);
        job_count = size;
        bench.wait_for(metric, size as u64)?;
        series.push((size as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

/// Bytes of configurations that come into force in a second; their size varies.
pub(super) fn configuration_bytes(scale: &Scale) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 1))?;
    let mut peers = Vec::new();
    add_minions(&bench, &mut peers, SOME_MINIONS, FakeMinion::Full)?;
    let mut series = Series::new();
    for kind_count in scale.sizes(&[10, 100, 200, 400]) {
        let text = configuration(72, kind_count);
        let observed = observe_changes(scale, &bench, &text, 4)?;
        series.push((text.len() as f64 * observed.changes_per_s(), observed));
    }
    Ok(series)
}

/// Changes of the configuration a second.
pub(super) fn changes(scale: &Scale) -> Result<Series> {
    let text = configuration(72, 20);
    let bench = Bench::entry(&text)?;
    let mut peers = Vec::new();
    add_minions(&bench, &mut peers, SOME_MINIONS, FakeMinion::Full)?;
    let mut series = Series::new();
    for size in scale.sizes(&[1, 3, 6, 9]) {
        let observed = observe_changes(scale, &bench, &text, size)?;
        series.push((observed.changes_per_s(), observed));
    }
    Ok(series)
}

/// Starts a second, on minions that end each task at once.
pub(super) fn starts(scale: &Scale) -> Result<Series> {
    let bench = Bench::entry(&configuration(2, 2))?;
    let mut peers = Vec::new();
    add_minions(&bench, &mut peers, SOME_MINIONS, FakeMinion::Prompt)?;
    let load = Load::new(&bench)?;
    let mut series = Series::new();
    for size in scale.sizes(&[500, 1_000, 2_000, 4_000]) {
        let is_stopped = AtomicBool::new(false);
        let observed = thread::scope(|scope| {
            for caller in 0..LOAD_CALLERS {
                let (load, is_stopped) = (&load, &is_stopped);
                let rate = size as f64 / LOAD_CALLERS as f64;
                scope.spawn(move || load.run_until(is_stopped, &format!("{size}-{caller}"), rate));
            }
            let observed = scale.observe(&bench);
            is_stopped.store(true, Ordering::Relaxed);
            observed
        })?;
        series.push((observed.starts_per_s(), observed));
    }
    Ok(series)
}

fn add_minions(
    bench: &Bench,
    peers: &mut Vec<FakePeer>,
    count: usize,
    minion: FakeMinion,
) -> Result<()> {
    while peers.len() < count {
        peers.push(FakePeer::sidecar(minion, bench.link_address())?);
    }
    bench.wait_for("membership.minions", count as u64)?;
    bench.wait_for("link.sessions_opened", count as u64)
}

/// Applies the configuration again and again while the entry is observed.
fn observe_changes(
    scale: &Scale,
    bench: &Bench,
    text: &str,
    rate: usize,
) -> Result<super::Observation> {
    let period = Duration::from_secs(1) / rate as u32;
    let is_stopped = AtomicBool::new(false);
    let api = bench.api();
    thread::scope(|scope| {
        let is_stopped = &is_stopped;
        scope.spawn(move || {
            for change in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let began = Instant::now();
                // A change that is refused shows as fewer bytes and misses its place on the line.
                let _ = api.apply_configuration(&format!("{text}; change {change}\n"));
                thread::sleep(period.saturating_sub(began.elapsed()));
            }
        });
        let observed = scale.observe(bench);
        is_stopped.store(true, Ordering::Relaxed);
        observed
    })
}

/// A caller of the measured entry.
struct Load {
    api: EntryApi,
    token: OwnerToken,
}

impl Load {
    fn new(bench: &Bench) -> Result<Self> {
        thread::sleep(TOKEN_SETTLE);
        let api = bench.api();
        let token = api.owner()?;
        Ok(Self { api, token })
    }

    fn submit(&self, team: usize, key: &str, task_count: usize) -> Result<()> {
        self.call(team, key, task_count, Duration::ZERO)
    }

    fn call(&self, team: usize, key: &str, task_count: usize, wait: Duration) -> Result<()> {
        let payload = TaskPayload::new(Duration::from_millis(50), ECHO);
        let job = JobRequest::new(format!("team-{team}"), "kind-0").wait(wait);
        let job = (0..task_count).fold(job, |job, _| job.task(&payload));
        let answer = self.api.submit_raw(&self.token, key, &job)?;
        ensure!(answer.is_success(), "the job was refused: {answer:?}");
        Ok(())
    }

    /// Submits jobs of one task each, by several callers at once.
    fn submit_single(&self, jobs: std::ops::Range<usize>) {
        thread::scope(|scope| {
            for caller in 0..SINGLE_CALLERS {
                let jobs = jobs.clone().skip(caller).step_by(SINGLE_CALLERS);
                scope.spawn(move || {
                    for job in jobs {
                        // A job that is refused is missed by whoever waits for the count.
                        let _ = self.submit(0, &format!("job-{job}"), 1);
                    }
                });
            }
        });
    }

    /// Gives every team more work again and again.
    fn add_work_until(&self, is_stopped: &AtomicBool, team_count: usize) {
        for round in 0.. {
            for team in 0..team_count {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                // A refusal leaves the numbers as they are for one round.
                let _ = self.submit(team, &format!("round-{round}-{team}"), 1);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn run_until(&self, is_stopped: &AtomicBool, name: &str, starts_per_s: f64) {
        let period = Duration::from_secs_f64(LOAD_JOB_TASKS as f64 / starts_per_s);
        for job in 0.. {
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let began = Instant::now();
            // The rate is measured, so a job that fails only moves the point.
            let key = format!("{name}-{job}");
            let _ = self.call(0, &key, LOAD_JOB_TASKS, Duration::from_secs(5));
            thread::sleep(period.saturating_sub(began.elapsed()));
        }
    }
}
