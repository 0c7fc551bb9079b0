//! An entry stops as planned under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::probe::Probe;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(1000);
const TARGET: usize = 0;
const OTHER: usize = 1;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(3)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let probe = Probe::new(&run, TARGET, "kept")?;
    let first = probe.submit_and_record(&mut run, TARGET);
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    run.retire_entry(TARGET)?;
    let resubmission = probe.submit_and_record(&mut run, OTHER);
    thread::sleep(LOAD_AFTER_FAULT);
    let mut report = run.finish()?;
    report.expect_complete("the job before the stop", first);
    report.expect_complete("its resubmission through another entry", resubmission);
    Ok(report)
}
