//! Retention passes the newest configuration; then all processes are replaced.

use std::thread;
use std::time::Duration;

use eyre::Result;

use super::finish;
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec, wait_until};

const RETENTION_RECORDS: usize = 20;
const OTHER_RECORD_COUNT: u32 = 60;
/// Passes a whole retention in four times the least time between two repeats.
const APPEND_PAUSE: Duration = Duration::from_millis(200);
const READY_BOUND: Duration = Duration::from_secs(5);

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
    let late = run.cluster.start_entry()?;
    let api = run.cluster.entry(late).api();
    wait_until("readiness after retention", READY_BOUND, || api.is_ready())?;
    let after = api.configuration()?;
    let mut report = finish(run)?;
    report.expect(
        before.version < Some(first_offset),
        format!("the log has dropped the configuration; it begins at {first_offset}"),
    );
    report.expect(
        before.version == after.version && before.body == after.body,
        format!(
            "the configuration outlives retention; it was {:?} and is {:?}",
            before.version, after.version
        ),
    );
    Ok(report)
}
