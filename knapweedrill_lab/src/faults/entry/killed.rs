//! An entry that owns running jobs is killed; its jobs are resubmitted through other entries.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_run::entry_name;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(3500);
const TARGET: usize = 0;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(3)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    run.kill_entry(TARGET)?;
    if let Some(callers) = run.callers() {
        callers.remove_entry(&entry_name(TARGET));
    }
    thread::sleep(LOAD_AFTER_FAULT);
    run.finish()
}
