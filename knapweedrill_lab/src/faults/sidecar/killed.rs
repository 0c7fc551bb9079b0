//! A sidecar, a minion or both are killed under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(3000);
const TARGET: usize = 0;

pub(in crate::faults) fn run_sidecar(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| {
        run.collect_starts(TARGET);
        run.kill_sidecar(TARGET)
    })
}

pub(in crate::faults) fn run_minion(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.kill_minion(TARGET))
}

pub(in crate::faults) fn run_both(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| {
        run.kill_sidecar(TARGET)?;
        run.kill_minion(TARGET)
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
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    kill(&mut run)?;
    run.cluster.start_minion(&MinionSpec::new())?;
    thread::sleep(LOAD_AFTER_FAULT);
    run.finish()
}
