//! Two faults at once under load; the seed determines the time between them.

use std::thread;
use std::time::Duration;

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::fault_run::entry_name;
use crate::faults::{CallerWorkload, FREEZE_DURATION, FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, LinkProxy, MinionSpec};
use crate::stand_in::fault_proxy::DatagramFaults;
use crate::stand_in::log::{LogControl, LogMode};

const WARM_UP: Duration = Duration::from_millis(1000);
/// The maximum time between the two faults, in milliseconds.
const GAP_MAX_MS: u64 = 800;
const PARTITION_DURATION: Duration = Duration::from_millis(2500);
const LOAD_AFTER_FAULT: Duration = Duration::from_millis(3500);
const TARGET: usize = 0;
const OTHER: usize = 1;
const ENTRY_COUNT: usize = 3;

/// An entry is frozen while the log is down.
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
        run.cluster.entry(TARGET).process().freeze()?;
        thread::sleep(FREEZE_DURATION);
        run.cluster.entry(TARGET).process().thaw()?;
        run.cluster.log().control(LogControl::default())
    })
}

/// A sidecar is killed while the links to another one are black holes.
pub(in crate::faults) fn run_sidecar_killed_link_silent(
    case: FaultCase,
    seed: Seed,
) -> Result<FaultReport> {
    run(case, seed, |run, gap| {
        if let Some(proxy) = run.cluster.minions()[OTHER].link_proxy() {
            proxy.stream().blackhole();
        }
        thread::sleep(gap);
        run.collect_starts(TARGET);
        run.kill_sidecar(TARGET)
    })
}

/// An entry is killed while all processes are partitioned.
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
        run.kill_entry(TARGET)?;
        if let Some(callers) = run.callers() {
            callers.remove_entry(&entry_name(TARGET));
        }
        thread::sleep(PARTITION_DURATION);
        for proxy in proxies(run) {
            proxy.stream().restore();
            proxy.datagrams().set_faults(DatagramFaults::new());
        }
        Ok(())
    })
}

/// Runs a case whose faults `inject` causes, with the given time between them.
fn run(
    case: FaultCase,
    seed: Seed,
    inject: impl FnOnce(&mut FaultRun, Duration) -> Result<()>,
) -> Result<FaultReport> {
    let gap_ms = StdRng::seed_from_u64(seed).random_range(0..=GAP_MAX_MS);
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(3, &MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    inject(&mut run, Duration::from_millis(gap_ms))?;
    thread::sleep(LOAD_AFTER_FAULT);
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
