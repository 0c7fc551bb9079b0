//! An upstream announces under load that it is leaving.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
/// Longer than the time in which a leaving upstream may still receive tasks.
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(4500);
const TARGET: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    run.cluster.minion(TARGET).leave()?;
    thread::sleep(LOAD_AFTER_FAULT);
    let mut report = run.finish()?;
    report.expect_no_failure();
    Ok(report)
}
