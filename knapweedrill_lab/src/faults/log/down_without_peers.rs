//! The log is down while the only entry is replaced, so that the new entry finds no configuration.

use std::thread;
use std::time::Duration;

use eyre::Result;

use super::{finish_with_version_check, set_log_mode};
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, wait_until};
use crate::stand_in::log::LogMode;

const OUTAGE: Duration = Duration::from_secs(3);
const READY_TIMEOUT: Duration = Duration::from_secs(5);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let mut run = FaultRun::start(case, seed, ClusterBuilder::new().entries(1))?;
    let before = run.cluster.entry(0).api().configuration()?.version;
    run.kill_entry(0)?;
    set_log_mode(&mut run, LogMode::Down, Duration::ZERO)?;
    let new_entry = run.cluster.start_entry()?;
    let api = run.cluster.entry(new_entry).api();
    wait_until("health of the new entry", READY_TIMEOUT, || {
        api.get("/healthz").is_ok()
    })?;
    thread::sleep(OUTAGE);
    let is_ready_in_outage = api.is_ready();
    let has_token_in_outage = api.owner().is_ok();
    set_log_mode(&mut run, LogMode::Up, Duration::ZERO)?;
    wait_until("readiness after the outage", READY_TIMEOUT, || {
        api.is_ready()
    })?;
    let after = api.configuration()?.version;
    let mut report = finish_with_version_check(run)?;
    report.expect(
        !is_ready_in_outage && !has_token_in_outage,
        "an entry without a configuration is not ready and issues no token",
    );
    report.expect(
        before == after,
        format!("the version in the log is in force; it was {before:?} and is {after:?}"),
    );
    Ok(report)
}
