//! The log contains invalid records, which every reader has to skip.

use std::time::Duration;

use eyre::Result;
use knapweedrill::api::{ApplyOutcome, ExpectedParent};
use knapweedrill::contract::{ConfigurationRecord, ConfigurationVersion};
use knapweedrill_derive::message;

use super::{Operator, finish_with_version_check};
use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, DEFAULT_CONFIGURATION, MinionSpec, wait_until};

const WARM_UP: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_secs(5);
const FUTURE_OFFSET: ConfigurationVersion = 1_000_000;

/// The JSON form of a configuration in the log.
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
    run.start_callers(&CallerWorkload::new().callers(2), WARM_UP);
    let api = run.cluster.entry(0).api();
    let before = api.configuration()?.version;
    for record in invalid_records(before)? {
        run.cluster.log().append(record)?;
    }
    let new_entry = run.cluster.start_entry()?;
    let new_entry_api = run.cluster.entry(new_entry).api();
    wait_until("readiness of a new entry", READY_TIMEOUT, || {
        new_entry_api.is_ready()
    })?;
    let after = new_entry_api.configuration()?.version;
    let (response, apply) = Operator::new("operator", api).apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);
    let mut report = finish_with_version_check(run)?;
    report.expect(
        after == before,
        format!("invalid records do not change the version; it was {before:?} and is {after:?}"),
    );
    report.expect(
        response.outcome == ApplyOutcome::Accepted,
        format!("a change after invalid records is accepted; got {response:?}"),
    );
    Ok(report)
}

fn invalid_records(current: Option<ConfigurationVersion>) -> Result<Vec<String>> {
    let valid = |parent| ConfigurationRecord::new(1, parent, DEFAULT_CONFIGURATION);
    let without_hash = ConfigurationRecord {
        body_hash: String::new(),
        ..valid(current)
    };
    let future_parent = valid(Some(FUTURE_OFFSET));
    let without_parent = valid(None);
    let invalid_refresh = ConfigurationRecord {
        refresh_of: Some(FUTURE_OFFSET),
        read_to: FUTURE_OFFSET + 1,
        ..valid(current)
    };
    let mut records = vec!["{".to_owned(), "{\"record\":\"other\"}".to_owned()];
    for configuration in [without_hash, future_parent, without_parent, invalid_refresh] {
        records.push(serde_json::to_string(&TaggedRecord {
            record: "configuration".to_owned(),
            configuration,
        })?);
    }
    Ok(records)
}
