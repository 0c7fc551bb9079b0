//! A sidecar or a minion stands still for longer than every timeout and goes on.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallPlan, FREEZE, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ChildProcess, ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const AFTERMATH: Duration = Duration::from_millis(2500);
const VICTIM: usize = 0;

pub(in crate::faults) fn run_sidecar(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.cluster.minion(VICTIM).sidecar())
}

pub(in crate::faults) fn run_minion(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.cluster.minion(VICTIM).minion())
}

fn run(
    case: FaultCase,
    seed: Seed,
    victim: impl Fn(&mut FaultRun) -> &mut ChildProcess,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    victim(&mut run).freeze()?;
    thread::sleep(FREEZE);
    victim(&mut run).thaw()?;
    thread::sleep(AFTERMATH);
    run.finish()
}
