//! A sidecar stops as planned under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(1500);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const TARGET: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    run.collect();
    run.stop_sidecar(TARGET)?;
    let status = run
        .cluster
        .minion(TARGET)
        .sidecar()
        .wait_exit(STOP_TIMEOUT)?;
    thread::sleep(LOAD_AFTER_FAULT);
    let mut report = run.finish()?;
    report.expect(
        status.success(),
        format!("the sidecar exits with status 0; got {status}"),
    );
    report.expect_no_failure();
    Ok(report)
}
