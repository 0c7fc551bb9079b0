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
/// Shorter than the first ejection.
const EJECTION: Duration = Duration::from_millis(900);
const AFTERMATH: Duration = Duration::from_secs(3);
const VICTIM: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed, slot_count: u32) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
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
    report.expect(
        early_count <= (STARTS_FACTOR * slot_count) as usize,
        format!("the minion is ejected soon; it started {early_count} tasks before"),
    );
    report.expect(
        !failed_us.is_empty(),
        "the minion that fails everything was tried",
    );
    Ok(report)
}
