//! An upstream announces under load that it leaves.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
/// Longer than a leaving upstream may get new work.
const AFTERMATH: Duration = Duration::from_millis(4500);
const VICTIM: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    run.cluster.minion(VICTIM).leave()?;
    thread::sleep(AFTERMATH);
    let mut report = run.finish()?;
    report.expect_no_failure();
    Ok(report)
}
