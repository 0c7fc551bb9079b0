//! A sidecar or a minion is frozen for longer than every timeout and then resumes.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallerWorkload, FREEZE_DURATION, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ChildProcess, ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(2500);
const TARGET: usize = 0;

pub(in crate::faults) fn run_sidecar(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.cluster.minion(TARGET).sidecar())
}

pub(in crate::faults) fn run_minion(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    run(case, seed, |run| run.cluster.minion(TARGET).minion())
}

fn run(
    case: FaultCase,
    seed: Seed,
    target: impl Fn(&mut FaultRun) -> &mut ChildProcess,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    target(&mut run).freeze()?;
    thread::sleep(FREEZE_DURATION);
    target(&mut run).thaw()?;
    thread::sleep(LOAD_AFTER_FAULT);
    run.finish()
}
