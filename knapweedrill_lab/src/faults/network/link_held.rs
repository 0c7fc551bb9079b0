//! Frames arrive late on links that have been replaced by new ones.

use std::ops::RangeInclusive;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::Submission;
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::probe::Probe;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(800);
const ROUND_COUNT: u32 = 3;
/// Longer than it takes to replace a link that delivers nothing.
const PAUSE_DURATION: Duration = Duration::from_millis(2500);
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Few callers, so that slots are free when the late frames arrive.
const CALLER_COUNT: usize = 3;
/// The number of jobs that are submitted while the links are paused.
const DELAYED_JOB_COUNT: usize = 4;
const ENTRY_COUNT: usize = 2;
const TASK_COUNTS: RangeInclusive<u32> = 2..=5;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(2, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let workload = CallerWorkload::new()
        .callers(CALLER_COUNT)
        .task_counts(TASK_COUNTS);
    run.start_callers(&workload, WARM_UP);
    for round in 0..ROUND_COUNT {
        let minions = run.cluster.minions().iter();
        let proxies = minions.filter_map(|minion| minion.link_proxy());
        let entries = run.cluster.entries().iter();
        let all: Vec<_> = proxies
            .chain(entries.filter_map(|entry| entry.link_proxy()))
            .collect();
        for proxy in &all {
            proxy.stream().pause();
        }
        // The tasks of these jobs are handed out on links whose frames arrive late.
        let delayed: Vec<_> = (0..DELAYED_JOB_COUNT)
            .map(|number| spawn_submission(&run, &format!("late-{round}-{number}"), number))
            .collect::<Result<_>>()?;
        thread::sleep(PAUSE_DURATION);
        for proxy in &all {
            proxy.stream().restore();
        }
        thread::sleep(ROUND_PAUSE);
        for thread in delayed {
            let submission = thread.join().map_err(|_| eyre!("a caller panicked"))?;
            run.add_submissions([submission]);
        }
    }
    let mut report = run.finish()?;
    report.expect_all_complete();
    Ok(report)
}

/// Submits a job through its owner on a new thread, which waits for the response.
fn spawn_submission(run: &FaultRun, key: &str, number: usize) -> Result<JoinHandle<Submission>> {
    let owner = number % ENTRY_COUNT;
    let probe = Probe::new(run, owner, key)?;
    let api = run.cluster.entries()[owner].api();
    Ok(thread::spawn(move || {
        probe.submit_through(entry_name(owner), api)
    }))
}
