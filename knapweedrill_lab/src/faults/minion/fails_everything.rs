//! A minion fails everything; jobs go to the others once it is ejected.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::fault_run::minion_name;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::minion::{MinionControl, MinionMode};
use crate::wall_clock::wall_us;

const WARM_UP: Duration = Duration::from_millis(1500);
/// How many times its slots a minion that fails everything may start before it is ejected.
const STARTS_FACTOR: u32 = 3;
/// Shorter than the shortest first ejection, so that no trial falls into it.
const EJECTION: Duration = Duration::from_millis(450);
const ENTRY_COUNT: usize = 2;
/// How many trials an entry may make in the rest of the run; ejections last 0.5 s and longer.
const TRIAL_COUNT_MAX: usize = 3;
const AFTERMATH: Duration = Duration::from_secs(3);
const VICTIM: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed, slot_count: u32) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(3, &MinionSpec::new().slots(slot_count));
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    let failing_since_us = wall_us();
    run.cluster.minions()[VICTIM].control(MinionControl::new(MinionMode::FailEverything))?;
    thread::sleep(AFTERMATH);
    run.stop_callers()?;
    run.collect();
    let minion = minion_name(VICTIM);
    let failed_us: Vec<u64> = run
        .history
        .starts_at(&minion)
        .iter()
        .map(|start| start.start_us)
        .filter(|start_us| *start_us >= failing_since_us)
        .collect();
    let first_us = failed_us.first().copied().unwrap_or(failing_since_us);
    let ejection_us = EJECTION.as_micros() as u64;
    let early_count = failed_us
        .iter()
        .filter(|start_us| **start_us < first_us + ejection_us)
        .count();
    let mut report = run.finish()?;
    let start_count_max = (STARTS_FACTOR * slot_count) as usize;
    let total_count = failed_us.len();
    report.expect(
        total_count <= start_count_max + ENTRY_COUNT * TRIAL_COUNT_MAX,
        format!("single trials follow the ejection; it started {total_count} tasks in all"),
    );
    report.expect(
        early_count <= start_count_max,
        format!("the minion is ejected soon; it started {early_count} tasks before"),
    );
    report.expect(
        !failed_us.is_empty(),
        "the minion that fails everything was tried",
    );
    Ok(report)
}
