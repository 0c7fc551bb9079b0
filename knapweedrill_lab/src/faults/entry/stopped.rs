//! An entry stops as planned under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::probe::Probe;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const AFTERMATH: Duration = Duration::from_millis(1000);
const VICTIM: usize = 0;
const OTHER: usize = 1;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(3)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let probe = Probe::new(&run, VICTIM, "kept")?;
    let first = probe.submit(&mut run, VICTIM);
    run.start_callers(&CallPlan::new(), WARM_UP);
    run.retire_entry(VICTIM)?;
    let repeated = probe.submit(&mut run, OTHER);
    thread::sleep(AFTERMATH);
    let mut report = run.finish()?;
    report.expect_complete("the job before the stop", first);
    report.expect_complete("its resubmission through another entry", repeated);
    Ok(report)
}
