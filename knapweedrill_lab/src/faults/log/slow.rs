//! The log is slow while an operator applies a configuration.

use std::time::Duration;

use eyre::Result;
use knapweedrill::api::{ApplyOutcome, ExpectedParent};

use super::{Operator, finish_with_version_check, set_log_mode};
use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::log::LogMode;

const WARM_UP: Duration = Duration::from_millis(500);
const DELAY: Duration = Duration::from_millis(1500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new().callers(2), WARM_UP);
    set_log_mode(&mut run, LogMode::Slow, DELAY)?;
    let operator = Operator::new("operator", run.cluster.entry(0).api());
    let (response, apply) = operator.apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);
    let mut report = finish_with_version_check(run)?;
    report.expect(
        response.outcome == ApplyOutcome::Accepted,
        format!("a change is accepted while the log is slow; got {response:?}"),
    );
    Ok(report)
}
