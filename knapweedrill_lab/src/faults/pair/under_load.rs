//! Two failures at once under load; the seed decides how far apart they are.

use std::thread;
use std::time::Duration;

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::fault_run::entry_name;
use crate::faults::{CallPlan, FREEZE, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, LinkProxy, MinionSpec};
use crate::stand_in::fault_proxy::DatagramFaults;
use crate::stand_in::log::{LogControl, LogMode};

const WARM_UP: Duration = Duration::from_millis(1000);
/// The longest time between the two failures, in milliseconds.
const GAP_MAX_MS: u64 = 800;
const PARTITION: Duration = Duration::from_millis(2500);
const AFTERMATH: Duration = Duration::from_millis(3500);
const VICTIM: usize = 0;
const OTHER: usize = 1;
const ENTRY_COUNT: usize = 3;

/// An entry stands still while the log is down.
pub(in crate::faults) fn run_entry_frozen_log_down(
    case: FaultCase,
    seed: Seed,
) -> Result<FaultReport> {
    run(case, seed, |run, gap| {
        let down = LogControl {
            mode: LogMode::Down,
            ..LogControl::default()
        };
        run.cluster.log().control(down)?;
        thread::sleep(gap);
        run.cluster.entry(VICTIM).process().freeze()?;
        thread::sleep(FREEZE);
        run.cluster.entry(VICTIM).process().thaw()?;
        run.cluster.log().control(LogControl::default())
    })
}

/// A sidecar is killed while the links to another one go silent.
pub(in crate::faults) fn run_sidecar_killed_link_silent(
    case: FaultCase,
    seed: Seed,
) -> Result<FaultReport> {
    run(case, seed, |run, gap| {
        if let Some(proxy) = run.cluster.minions()[OTHER].link_proxy() {
            proxy.stream().blackhole();
        }
        thread::sleep(gap);
        run.collect_starts(VICTIM);
        run.kill_sidecar(VICTIM)
    })
}

/// An entry is killed while all processes are parted from each other.
pub(in crate::faults) fn run_entry_killed_partition(
    case: FaultCase,
    seed: Seed,
) -> Result<FaultReport> {
    run(case, seed, |run, gap| {
        for proxy in proxies(run) {
            proxy.stream().disconnect();
            let datagrams = proxy.datagrams();
            datagrams.set_faults(DatagramFaults::new().drop_percent(100));
        }
        thread::sleep(gap);
        run.kill_entry(VICTIM)?;
        if let Some(callers) = run.callers() {
            callers.remove_entry(&entry_name(VICTIM));
        }
        thread::sleep(PARTITION);
        for proxy in proxies(run) {
            proxy.stream().restore();
            proxy.datagrams().set_faults(DatagramFaults::new());
        }
        Ok(())
    })
}

fn run(
    case: FaultCase,
    seed: Seed,
    fail: impl FnOnce(&mut FaultRun, Duration) -> Result<()>,
) -> Result<FaultReport> {
    let gap_ms = StdRng::seed_from_u64(seed).random_range(0..=GAP_MAX_MS);
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(3, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    fail(&mut run, Duration::from_millis(gap_ms))?;
    thread::sleep(AFTERMATH);
    run.finish()
}

fn proxies(run: &FaultRun) -> Vec<&LinkProxy> {
    let entries = run.cluster.entries().iter();
    let minions = run.cluster.minions().iter();
    let proxies = entries.filter_map(|entry| entry.link_proxy());
    proxies
        .chain(minions.filter_map(|minion| minion.link_proxy()))
        .collect()
}
