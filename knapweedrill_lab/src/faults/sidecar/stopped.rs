//! A sidecar stops as planned under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const AFTERMATH: Duration = Duration::from_millis(1500);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const VICTIM: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    run.collect();
    run.stop_sidecar(VICTIM)?;
    let status = run
        .cluster
        .minion(VICTIM)
        .sidecar()
        .wait_exit(STOP_TIMEOUT)?;
    thread::sleep(AFTERMATH);
    let mut report = run.finish()?;
    report.expect(status.success(), format!("the sidecar ends with {status}"));
    report.expect_no_failure();
    Ok(report)
}
