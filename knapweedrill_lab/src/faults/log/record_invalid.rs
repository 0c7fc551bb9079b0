//! The log holds records that are not valid; every reader skips them alike.

use std::time::Duration;

use eyre::Result;
use knapweedrill::api::{ApplyOutcome, ExpectedParent};
use knapweedrill::contract::{ConfigurationRecord, ConfigurationVersion};
use knapweedrill_derive::message;

use super::{Operator, finish};
use crate::faults::fault_case::Seed;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, DEFAULT_CONFIGURATION, MinionSpec, wait_until};

const WARM_UP: Duration = Duration::from_millis(500);
const READY_BOUND: Duration = Duration::from_secs(5);
const FUTURE_OFFSET: ConfigurationVersion = 1_000_000;

/// The form in which daemons keep a configuration in the log.
#[message]
struct TaggedRecord {
    record: String,
    #[serde(flatten)]
    configuration: ConfigurationRecord,
}

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new().callers(2), WARM_UP);
    let api = run.cluster.entry(0).api();
    let before = api.configuration()?.version;
    for record in invalid_records(before)? {
        run.cluster.log().append(record)?;
    }
    let late = run.cluster.start_entry()?;
    let late_api = run.cluster.entry(late).api();
    wait_until("readiness of a new entry", READY_BOUND, || {
        late_api.is_ready()
    })?;
    let unchanged = late_api.configuration()?.version;
    let (answer, apply) = Operator::new("operator", api).apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);
    let mut report = finish(run)?;
    report.expect(
        unchanged == before,
        format!("invalid records change nothing; it was {before:?} and is {unchanged:?}"),
    );
    report.expect(
        answer.outcome == ApplyOutcome::Accepted,
        format!("a change after invalid records is accepted; told {answer:?}"),
    );
    Ok(report)
}

fn invalid_records(current: Option<ConfigurationVersion>) -> Result<Vec<String>> {
    let valid = |parent| ConfigurationRecord::new(1, parent, DEFAULT_CONFIGURATION);
    let damaged = ConfigurationRecord {
        body_hash: String::new(),
        ..valid(current)
    };
    let future_parent = valid(Some(FUTURE_OFFSET));
    let no_parent = valid(None);
    let false_repeat = ConfigurationRecord {
        refresh_of: Some(FUTURE_OFFSET),
        read_to: FUTURE_OFFSET + 1,
        ..valid(current)
    };
    let mut records = vec!["{".to_owned(), "{\"record\":\"other\"}".to_owned()];
    for configuration in [damaged, future_parent, no_parent, false_repeat] {
        records.push(serde_json::to_string(&TaggedRecord {
            record: "configuration".to_owned(),
            configuration,
        })?);
    }
    Ok(records)
}
