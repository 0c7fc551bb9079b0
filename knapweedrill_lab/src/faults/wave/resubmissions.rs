//! Running jobs are resubmitted many times concurrently through all entries.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_run::entry_name;
use crate::faults::probe::Probe;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, MinionSpec};

const ENTRY_COUNT: usize = 3;
const WAVE_COUNT: usize = 3;
const RESUBMISSION_COUNT: usize = 60;
const CALLER_COUNT: usize = 3;
const WARM_UP: Duration = Duration::from_millis(500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new().callers(CALLER_COUNT), WARM_UP);
    let mut outcomes = Vec::new();
    for wave in 0..WAVE_COUNT {
        let probe = Probe::new(&run, wave % ENTRY_COUNT, &format!("wave-{wave}"))?;
        let threads: Vec<_> = (0..RESUBMISSION_COUNT)
            .map(|number| {
                let probe = probe.clone();
                let entry = number % ENTRY_COUNT;
                let api = run.cluster.entry(entry).api();
                thread::spawn(move || probe.submit_through(entry_name(entry), api))
            })
            .collect();
        let submissions: Vec<_> = threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect();
        outcomes.extend(
            submissions
                .iter()
                .map(|submission| submission.answer.outcome()),
        );
        run.add_submissions(submissions);
    }
    let mut report = run.finish()?;
    for outcome in outcomes {
        report.expect_complete("a resubmission", outcome);
    }
    Ok(report)
}
