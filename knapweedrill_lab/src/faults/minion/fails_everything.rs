//! A minion fails all tasks and has to be ejected, so that jobs run on the others.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::fault_run::minion_name;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::minion::{MinionControl, MinionMode};
use crate::wall_clock::wall_us;

const WARM_UP: Duration = Duration::from_millis(1500);
/// How many tasks per slot the failing minion may start before it is ejected.
const STARTS_PER_SLOT_MAX: u32 = 3;
/// The time from the first failed start in which starts count as made before the ejection.
///
/// Shorter than the shortest first ejection, so that no trial after an ejection is counted.
const PRE_EJECTION_WINDOW: Duration = Duration::from_millis(450);
const ENTRY_COUNT: usize = 2;
/// How many trials an entry may make in the rest of the run; an ejection lasts at least 0.5 s.
const TRIAL_COUNT_MAX: usize = 3;
/// How long the load continues while the minion fails all tasks.
const FAULT_DURATION: Duration = Duration::from_secs(3);
const TARGET: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed, slot_count: u32) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(3, &MinionSpec::new().slots(slot_count));
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    let failing_since_us = wall_us();
    run.cluster.minions()[TARGET].control(MinionControl::new(MinionMode::FailEverything))?;
    thread::sleep(FAULT_DURATION);
    run.stop_callers()?;
    run.collect();
    let minion = minion_name(TARGET);
    let failed_us: Vec<u64> = run
        .history
        .starts_at(&minion)
        .iter()
        .map(|start| start.start_us)
        .filter(|start_us| *start_us >= failing_since_us)
        .collect();
    let first_us = failed_us.first().copied().unwrap_or(failing_since_us);
    let window_us = PRE_EJECTION_WINDOW.as_micros() as u64;
    let early_count = failed_us
        .iter()
        .filter(|start_us| **start_us < first_us + window_us)
        .count();
    let mut report = run.finish()?;
    let start_count_max = (STARTS_PER_SLOT_MAX * slot_count) as usize;
    let total_count = failed_us.len();
    report.expect(
        total_count <= start_count_max + ENTRY_COUNT * TRIAL_COUNT_MAX,
        format!("only single trials follow the ejection; it started {total_count} tasks in total"),
    );
    report.expect(
        early_count <= start_count_max,
        format!(
            "the minion is ejected early; it started {early_count} tasks in {PRE_EJECTION_WINDOW:?}"
        ),
    );
    report.expect(!failed_us.is_empty(), "the failing minion started tasks");
    Ok(report)
}
