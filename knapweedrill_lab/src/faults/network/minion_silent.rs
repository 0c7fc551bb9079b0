//! The connections between a sidecar and its minion become black holes while new ones work.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::RecordingClient;
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, JobOutcome, JobRequest, MinionSpec};
use crate::stand_in::minion::TaskPayload;

const TASK_COUNT: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(2);
/// The time from the submission to the fault, at which all tasks run.
const FAULT_DELAY: Duration = Duration::from_millis(300);
/// How long after the deadline of a job the response may arrive.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(1)
        .minion(MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let client = RecordingClient::new(entry_name(0), api);
    let token = api.owner()?;
    let interrupted_client = client.clone();
    let interrupted =
        thread::spawn(move || interrupted_client.submit(token, "cut-off", &job("cut-off")));
    thread::sleep(FAULT_DELAY);
    if let Some(proxy) = run.cluster.minions()[0].minion_proxy() {
        proxy.blackhole();
    }
    let interrupted = interrupted
        .join()
        .map_err(|_| eyre!("the caller panicked"))?;
    let next = client.submit(api.owner()?, "next", &job("next"));
    let response_time = Duration::from_micros(interrupted.answered_us - interrupted.submitted_us);
    let outcomes = [&interrupted, &next].map(|submission| submission.answer.outcome());
    run.add_submissions([interrupted, next]);
    let mut report = run.finish()?;
    report.expect(
        outcomes == [Some(JobOutcome::Failed), Some(JobOutcome::Complete)],
        format!("the interrupted job fails and the next one is complete; got {outcomes:?}"),
    );
    report.expect(
        response_time < DEADLINE + RESPONSE_MARGIN,
        format!("the interrupted job is answered by its deadline; it took {response_time:?}"),
    );
    Ok(report)
}

fn job(name: &str) -> JobRequest {
    let job = JobRequest::new("tin-a", "release").deadline(DEADLINE);
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(RUN_TIME, format!("{name}-{index}")))
    })
}
