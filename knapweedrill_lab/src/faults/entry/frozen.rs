//! An entry is frozen for longer than every timeout and then resumes.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::{CallerWorkload, FREEZE_DURATION, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(2500);
const TARGET: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    run.cluster.entry(TARGET).process().freeze()?;
    thread::sleep(FREEZE_DURATION);
    run.cluster.entry(TARGET).process().thaw()?;
    thread::sleep(LOAD_AFTER_FAULT);
    run.finish()
}
