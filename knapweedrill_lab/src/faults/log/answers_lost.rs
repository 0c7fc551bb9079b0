//! The log appends records, but its responses are lost.

use std::time::Duration;

use eyre::Result;
use knapweedrill::api::{ApplyOutcome, ExpectedParent};

use super::{Operator, finish_with_version_check, set_log_mode};
use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::log::LogMode;

const WARM_UP: Duration = Duration::from_millis(500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new().callers(2), WARM_UP);
    let api = run.cluster.entry(0).api();
    let before = api.configuration()?.version;
    set_log_mode(&mut run, LogMode::LoseAnswers, Duration::ZERO)?;
    let (accepted, apply) = Operator::new("accepted", api).apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);
    let outdated_parent = before.map_or(ExpectedParent::Empty, ExpectedParent::Version);
    let (rejected, apply) = Operator::new("rejected", api).apply(outdated_parent)?;
    run.history.add_apply(apply);
    set_log_mode(&mut run, LogMode::Up, Duration::ZERO)?;
    let records = run.cluster.log().read(0)?.records;
    let offset = records
        .iter()
        .find(|record| record.body.contains("applied by accepted"))
        .map(|record| record.offset);
    let mut report = finish_with_version_check(run)?;
    report.expect(
        accepted.outcome == ApplyOutcome::Accepted && accepted.version == offset,
        format!("the change at offset {offset:?} is reported as accepted; got {accepted:?}"),
    );
    report.expect(
        rejected.outcome == ApplyOutcome::Rejected,
        format!("the change with an outdated parent is reported as rejected; got {rejected:?}"),
    );
    Ok(report)
}
