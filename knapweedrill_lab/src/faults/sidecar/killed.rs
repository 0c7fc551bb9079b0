//! A sidecar, a minion or both are killed under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const AFTERMATH: Duration = Duration::from_millis(3000);
const VICTIM: usize = 0;

pub(in crate::faults) fn run_sidecar(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| {
        run.collect_starts(VICTIM);
        run.kill_sidecar(VICTIM)
    })
}

pub(in crate::faults) fn run_minion(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.kill_minion(VICTIM))
}

pub(in crate::faults) fn run_both(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| {
        run.kill_sidecar(VICTIM)?;
        run.kill_minion(VICTIM)
    })
}

fn run(
    case: FaultCase,
    seed: Seed,
    kill: impl FnOnce(&mut FaultRun) -> Result<()>,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    kill(&mut run)?;
    run.cluster.start_minion(&MinionSpec::new())?;
    thread::sleep(AFTERMATH);
    run.finish()
}
