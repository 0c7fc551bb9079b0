//! Open links go silent for good while new ones work.

use std::ops::RangeInclusive;
use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::faults::fault_case::Seed;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, LinkProxy, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(800);
const ROUND_COUNT: u32 = 2;
/// Longer than a silent link takes to be replaced.
const ROUND: Duration = Duration::from_millis(2500);
/// Many tasks still run when their link has been replaced.
const TASK_MS: RangeInclusive<u64> = 50..=2500;
const TASK_COUNTS: RangeInclusive<u32> = 2..=8;

/// The links that go silent.
#[derive(Debug, Clone, Copy)]
pub(in crate::faults) enum SilentLinks {
    /// Those between entries and sidecars.
    ToSidecars,
    /// Those between entries.
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
    let plan = CallPlan::new().task_ms(TASK_MS).task_counts(TASK_COUNTS);
    run.start_callers(&plan, WARM_UP);
    for _ in 0..ROUND_COUNT {
        for proxy in proxies(&run, links) {
            proxy.stream().blackhole();
        }
        thread::sleep(ROUND);
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
