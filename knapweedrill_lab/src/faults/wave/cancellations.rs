//! Callers cancel most of their jobs.

use std::time::Duration;

use eyre::Result;

use crate::faults::probe::Probe;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const CALLER_COUNT: usize = 24;
const CANCELLED_PERCENT: u32 = 80;
const WAVE_DURATION: Duration = Duration::from_millis(3000);
const ENTRY: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let workload = CallerWorkload::new()
        .callers(CALLER_COUNT)
        .cancelled_percent(CANCELLED_PERCENT);
    run.start_callers(&workload, WAVE_DURATION);
    run.stop_callers()?;
    let outcome = Probe::new(&run, ENTRY, "after-the-wave")?.submit_and_record(&mut run, ENTRY);
    let mut report = run.finish()?;
    report.expect_complete("a job after the cancellations", outcome);
    Ok(report)
}
