//! All entries are replaced one after another under load.

use std::time::Duration;

use eyre::Result;

use crate::faults::fault_run::entry_name;
use crate::faults::probe::Probe;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(1000);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const ENTRY_COUNT: usize = 2;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(3, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let probes: Vec<Probe> = (0..ENTRY_COUNT)
        .map(|number| Probe::new(&mut run, number, &format!("kept-{number}")))
        .collect::<Result<_>>()?;
    for (number, probe) in probes.iter().enumerate() {
        probe.submit(&mut run, number);
    }
    run.start_callers(&CallPlan::new(), WARM_UP);
    let mut last = 0;
    for number in 0..ENTRY_COUNT {
        last = run.cluster.start_entry()?;
        run.wait_entry_serves(last, READY_TIMEOUT)?;
        let api = run.cluster.entry(last).api();
        if let Some(callers) = run.callers() {
            callers.add_entry(entry_name(last), api);
        }
        run.retire_entry(number)?;
    }
    let repeated: Vec<_> = probes
        .iter()
        .map(|probe| probe.submit(&mut run, last))
        .collect();
    let mut report = run.finish()?;
    for (number, outcome) in repeated.into_iter().enumerate() {
        let what = format!("the resubmission of a job of entry {number}, which is gone");
        report.expect_complete(&what, outcome);
    }
    Ok(report)
}
