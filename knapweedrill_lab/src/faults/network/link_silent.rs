//! Open links permanently become black holes while new ones work.

use std::ops::RangeInclusive;
use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, LinkProxy, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(800);
const ROUND_COUNT: u32 = 2;
/// Longer than it takes to replace a silent link.
const ROUND_DURATION: Duration = Duration::from_millis(2500);
/// The run times of tasks; many still run when their link has been replaced.
const RUN_TIMES_MS: RangeInclusive<u64> = 50..=2500;
const TASK_COUNTS: RangeInclusive<u32> = 2..=8;

/// The links that become black holes.
#[derive(Debug, Clone, Copy)]
pub(in crate::faults) enum SilentLinks {
    /// The links between entries and sidecars.
    ToSidecars,
    /// The links between entries.
    ToEntries,
}

pub(in crate::faults) fn run(
    case: FaultCase,
    seed: Seed,
    links: SilentLinks,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let workload = CallerWorkload::new()
        .run_times_ms(RUN_TIMES_MS)
        .task_counts(TASK_COUNTS);
    run.start_callers(&workload, WARM_UP);
    for _ in 0..ROUND_COUNT {
        for proxy in proxies(&run, links) {
            proxy.stream().blackhole();
        }
        thread::sleep(ROUND_DURATION);
    }
    let mut report = run.finish()?;
    report.expect_all_complete();
    Ok(report)
}

fn proxies(run: &FaultRun, links: SilentLinks) -> Vec<&LinkProxy> {
    let entries = run.cluster.entries().iter();
    let minions = run.cluster.minions().iter();
    match links {
        SilentLinks::ToSidecars => minions.filter_map(|minion| minion.link_proxy()).collect(),
        SilentLinks::ToEntries => entries.filter_map(|entry| entry.link_proxy()).collect(),
    }
}
