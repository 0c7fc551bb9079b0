//! The log is down while an entry starts and an operator applies a configuration.

use std::thread;
use std::time::Duration;

use eyre::Result;
use knapweedrill::api::{ApplyOutcome, ExpectedParent};

use super::{Operator, finish_with_version_check, set_log_mode};
use crate::checker::{RecordingClient, Submission};
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, EntryApi, JobOutcome, JobRequest, MinionSpec, wait_until};
use crate::stand_in::log::LogMode;
use crate::stand_in::minion::TaskPayload;

const WARM_UP: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_secs(5);
const ATTEMPT_COUNT_MAX: u32 = 10;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RUN_TIME: Duration = Duration::from_millis(20);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new().callers(2), WARM_UP);
    set_log_mode(&mut run, LogMode::Down, Duration::ZERO)?;

    let refused = Operator::new("refused", run.cluster.entry(0).api());
    let (response, apply) = refused.apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);

    let new_entry = run.cluster.start_entry()?;
    let api = run.cluster.entry(new_entry).api();
    wait_until("readiness during the outage", READY_TIMEOUT, || {
        api.is_ready()
    })?;
    let submissions = submit_until_accepted(new_entry, api)?;
    let outcome = submissions.last().and_then(|last| last.answer.outcome());
    run.add_submissions(submissions);

    set_log_mode(&mut run, LogMode::Up, Duration::ZERO)?;
    let is_in_log = run
        .cluster
        .log()
        .read(0)?
        .records
        .iter()
        .any(|record| record.body.contains("applied by refused"));
    let (after, apply) = Operator::new("after", api).apply(ExpectedParent::Current)?;
    run.history.add_apply(apply);

    let mut report = finish_with_version_check(run)?;
    report.expect(
        response.outcome == ApplyOutcome::NotApplied && !is_in_log,
        format!("the configuration is not applied and not in the log; got {response:?}"),
    );
    report.expect(
        outcome == Some(JobOutcome::Complete),
        format!("an entry that starts during the outage completes jobs; got {outcome:?}"),
    );
    report.expect(
        after.outcome == ApplyOutcome::Accepted,
        format!("a change after the outage is accepted; got {after:?}"),
    );
    Ok(report)
}

/// Submits a job until it is not refused, each time with a new token.
///
/// An entry that has just started is ready before it has discovered the sidecars.
fn submit_until_accepted(entry: usize, api: EntryApi) -> Result<Vec<Submission>> {
    let job = JobRequest::new("tin-a", "proof").task(&TaskPayload::new(RUN_TIME, "late"));
    let client = RecordingClient::new(entry_name(entry), api);
    let mut submissions = Vec::new();
    for _ in 0..ATTEMPT_COUNT_MAX {
        let submission = client.submit(api.owner()?, "late", &job);
        let is_refused = submission.answer.outcome() == Some(JobOutcome::NotRun);
        submissions.push(submission);
        if !is_refused {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    Ok(submissions)
}
