//! Frames turn up late on old links, after new ones have taken their place.

use std::ops::RangeInclusive;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::Submission;
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::probe::Probe;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(800);
const ROUND_COUNT: u32 = 3;
/// Longer than a silent link takes to be replaced.
const HOLD: Duration = Duration::from_millis(2500);
const AFTERMATH: Duration = Duration::from_millis(500);
/// So little work that slots are free when the late frames arrive.
const CALLER_COUNT: usize = 3;
/// How many jobs are handed out on links that hold back what comes.
const LATE_JOB_COUNT: usize = 4;
const ENTRY_COUNT: usize = 2;
const TASK_COUNTS: RangeInclusive<u32> = 2..=5;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(2, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let plan = CallPlan::new()
        .callers(CALLER_COUNT)
        .task_counts(TASK_COUNTS);
    run.start_callers(&plan, WARM_UP);
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
        // Jobs that are submitted now are handed out on links whose frames come late.
        let late: Vec<_> = (0..LATE_JOB_COUNT)
            .map(|number| submit_late(&run, &format!("late-{round}-{number}"), number))
            .collect::<Result<_>>()?;
        thread::sleep(HOLD);
        for proxy in &all {
            proxy.stream().restore();
        }
        thread::sleep(AFTERMATH);
        for thread in late {
            let submission = thread.join().map_err(|_| eyre!("a caller panicked"))?;
            run.add_submissions([submission]);
        }
    }
    let mut report = run.finish()?;
    report.expect_all_complete();
    Ok(report)
}

/// Submits a job through its owner, and waits for the answer on a thread of its own.
fn submit_late(run: &FaultRun, key: &str, number: usize) -> Result<JoinHandle<Submission>> {
    let owner = number % ENTRY_COUNT;
    let probe = Probe::new(run, owner, key)?;
    let api = run.cluster.entries()[owner].api();
    Ok(thread::spawn(move || probe.call(entry_name(owner), api)))
}
