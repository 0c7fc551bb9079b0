//! All entries are replaced one after another under load.

use std::time::Duration;

use eyre::Result;

use crate::faults::fault_run::entry_name;
use crate::faults::probe::Probe;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1000);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const REPLACEMENT_COUNT: usize = 3;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(1)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let probe = Probe::new(&run, 0, "kept")?;
    let first = probe.submit_and_record(&mut run, 0);
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    for number in 0..REPLACEMENT_COUNT {
        let next = run.cluster.start_entry()?;
        run.wait_entry_serving(next, READY_TIMEOUT)?;
        let api = run.cluster.entry(next).api();
        if let Some(callers) = run.callers() {
            callers.add_entry(entry_name(next), api);
        }
        run.retire_entry(number)?;
    }
    let resubmission = probe.submit_and_record(&mut run, REPLACEMENT_COUNT);
    let mut report = run.finish()?;
    report.expect_complete("the job of the first entry", first);
    report.expect_complete("its resubmission through the last entry", resubmission);
    Ok(report)
}
