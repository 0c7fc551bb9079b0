//! The log is down while the only entry is replaced, so that nobody knows a configuration.

use std::thread;
use std::time::Duration;

use eyre::Result;

use super::{finish, set_log};
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, wait_until};
use crate::stand_in::log::LogMode;

const OUTAGE: Duration = Duration::from_secs(3);
const READY_BOUND: Duration = Duration::from_secs(5);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let mut run = FaultRun::start(case, seed, ClusterBuilder::new().entries(1))?;
    let before = run.cluster.entry(0).api().configuration()?.version;
    run.kill_entry(0)?;
    set_log(&mut run, LogMode::Down, Duration::ZERO)?;
    let late = run.cluster.start_entry()?;
    let api = run.cluster.entry(late).api();
    wait_until("health", READY_BOUND, || api.get("/healthz").is_ok())?;
    thread::sleep(OUTAGE);
    let is_ready_early = api.is_ready();
    let has_token_early = api.owner().is_ok();
    set_log(&mut run, LogMode::Up, Duration::ZERO)?;
    wait_until("readiness after the outage", READY_BOUND, || api.is_ready())?;
    let after = api.configuration()?.version;
    let mut report = finish(run)?;
    report.expect(
        !is_ready_early && !has_token_early,
        "an entry without a configuration serves nothing",
    );
    report.expect(
        before == after,
        format!("the version of the log is in force; it was {before:?} and is {after:?}"),
    );
    Ok(report)
}
