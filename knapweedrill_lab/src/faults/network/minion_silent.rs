//! The connections between a sidecar and its minion go silent while new ones work.

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
const TASK_RUN: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(2);
/// When the connections go silent, with all tasks running.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// How long after its deadline a job may be answered.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(1)
        .minion(MinionSpec::new())
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let call = RecordingClient::new(entry_name(0), api);
    let token = api.owner()?;
    let cut_off_call = call.clone();
    let cut_off = thread::spawn(move || cut_off_call.submit(token, "cut-off", &job("cut-off")));
    thread::sleep(SILENT_AFTER);
    if let Some(proxy) = run.cluster.minions()[0].minion_proxy() {
        proxy.blackhole();
    }
    let cut_off = cut_off.join().map_err(|_| eyre!("the caller panicked"))?;
    let next = call.submit(api.owner()?, "next", &job("next"));
    let took = Duration::from_micros(cut_off.answered_us - cut_off.submitted_us);
    let outcomes = [&cut_off, &next].map(|submission| submission.answer.outcome());
    run.add_submissions([cut_off, next]);
    let mut report = run.finish()?;
    report.expect(
        outcomes == [Some(JobOutcome::Failed), Some(JobOutcome::Complete)],
        format!("the job that was cut off fails and the next is complete; got {outcomes:?}"),
    );
    report.expect(
        took < DEADLINE + ANSWER_MARGIN,
        format!("the job that was cut off is answered at its deadline; it took {took:?}"),
    );
    Ok(report)
}

fn job(name: &str) -> JobRequest {
    let job = JobRequest::new("tin-a", "release").deadline(DEADLINE);
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(TASK_RUN, format!("{name}-{index}")))
    })
}
