//! The retention of the log removes the newest configuration; then all processes are replaced.

use std::thread;
use std::time::Duration;

use eyre::Result;

use super::finish_with_version_check;
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec, wait_until};

const RETENTION_RECORDS: usize = 20;
const OTHER_RECORD_COUNT: u32 = 60;
/// With this pause, the retained records are replaced once in four times the minimum time between
/// two refreshes of the configuration.
const APPEND_PAUSE: Duration = Duration::from_millis(200);
const READY_TIMEOUT: Duration = Duration::from_secs(5);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minion(MinionSpec::new())
        .retention_records(RETENTION_RECORDS);
    let mut run = FaultRun::start(case, seed, cluster)?;
    let before = run.cluster.entry(0).api().configuration()?;
    for _ in 0..OTHER_RECORD_COUNT {
        run.cluster.log().append("another purpose")?;
        thread::sleep(APPEND_PAUSE);
    }
    let first_offset = run.cluster.log().read(0)?.first_offset;
    run.kill_entry(0)?;
    run.kill_entry(1)?;
    run.kill_sidecar(0)?;
    let new_entry = run.cluster.start_entry()?;
    let api = run.cluster.entry(new_entry).api();
    wait_until(
        "readiness after the log removed the configuration",
        READY_TIMEOUT,
        || api.is_ready(),
    )?;
    let after = api.configuration()?;
    let mut report = finish_with_version_check(run)?;
    report.expect(
        before.version < Some(first_offset),
        format!("the log has removed the original record; it begins at {first_offset}"),
    );
    report.expect(
        before.version == after.version && before.body == after.body,
        format!(
            "the configuration is kept beyond the retention; it was {:?} and is {:?}",
            before.version, after.version
        ),
    );
    Ok(report)
}
