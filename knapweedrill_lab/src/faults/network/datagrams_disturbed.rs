//! Heartbeats are lost, duplicated, delayed and reordered.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::fault_proxy::DatagramFaults;

const WARM_UP: Duration = Duration::from_millis(500);
const FAULT_DURATION: Duration = Duration::from_secs(4);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    let faults = DatagramFaults::new()
        .drop_percent(10)
        .duplicate_percent(50)
        .delay(Duration::from_millis(20))
        .reorder(30, Duration::from_millis(500));
    let entries = run.cluster.entries().iter();
    let minions = run.cluster.minions().iter();
    let proxies = entries.filter_map(|entry| entry.link_proxy());
    for proxy in proxies.chain(minions.filter_map(|minion| minion.link_proxy())) {
        proxy.datagrams().set_faults(faults);
    }
    thread::sleep(FAULT_DURATION);
    let mut report = run.finish()?;
    report.expect_all_complete();
    Ok(report)
}
