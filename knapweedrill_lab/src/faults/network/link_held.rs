//! Frames turn up late on old links, after new ones have taken their place.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(800);
const ROUND_COUNT: u32 = 2;
/// Longer than a silent link takes to be replaced.
const HOLD: Duration = Duration::from_millis(2500);
const AFTERMATH: Duration = Duration::from_millis(500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    for _ in 0..ROUND_COUNT {
        let minions = run.cluster.minions().iter();
        let proxies = minions.filter_map(|minion| minion.link_proxy());
        let entries = run.cluster.entries().iter();
        let all: Vec<_> = proxies
            .chain(entries.filter_map(|entry| entry.link_proxy()))
            .collect();
        for proxy in &all {
            proxy.stream().hold();
        }
        thread::sleep(HOLD);
        for proxy in &all {
            proxy.stream().pass();
        }
        thread::sleep(AFTERMATH);
    }
    let mut report = run.finish()?;
    report.expect_all_complete();
    Ok(report)
}
