//! An entry stands still for longer than every timeout and goes on.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallPlan, FREEZE, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const AFTERMATH: Duration = Duration::from_millis(2500);
const VICTIM: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    run.cluster.entry(VICTIM).process().freeze()?;
    thread::sleep(FREEZE);
    run.cluster.entry(VICTIM).process().thaw()?;
    thread::sleep(AFTERMATH);
    run.finish()
}
