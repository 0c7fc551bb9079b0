//! The connection from a caller to an entry becomes a black hole; the caller resubmits its job over
//! a new connection.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::{CallerAnswer, RecordingClient};
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, EntryApi, JobOutcome, JobRequest, MinionSpec};
use crate::harness::{HTTP_PORT, PROXY_PORT_OFFSET};
use crate::stand_in::fault_proxy::StreamProxy;
use crate::stand_in::minion::TaskPayload;

const TASK_COUNT: u32 = 12;
const RUN_TIME: Duration = Duration::from_millis(400);
/// The caller stops waiting for a response 5 s later.
const JOB_WAIT: Duration = Duration::from_secs(1);
/// The time from the submission to the fault.
const FAULT_DELAY: Duration = Duration::from_millis(200);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new().entries(1).minion(MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let mut listen = api.address();
    listen.set_port(HTTP_PORT + PROXY_PORT_OFFSET);
    let proxy = StreamProxy::start(listen, api.address())?;
    let token = api.owner()?;
    let client = RecordingClient::new(entry_name(0), EntryApi::new(proxy.address()));
    let interrupted_client = client.clone();
    let interrupted = thread::spawn(move || interrupted_client.submit(token, "order", &job()));
    thread::sleep(FAULT_DELAY);
    proxy.blackhole();
    let resubmission = client.submit(token, "order", &job().wait(Duration::from_secs(10)));
    let interrupted = interrupted
        .join()
        .map_err(|_| eyre!("the caller panicked"))?;
    let is_unanswered = interrupted.answer == CallerAnswer::Unanswered;
    let outcome = resubmission.answer.outcome();
    run.add_submissions([interrupted, resubmission]);
    let mut report = run.finish()?;
    report.expect(
        is_unanswered,
        "no response arrives over the connection that became a black hole",
    );
    report.expect(
        outcome == Some(JobOutcome::Complete),
        format!("the resubmitted job is complete; got {outcome:?}"),
    );
    Ok(report)
}

fn job() -> JobRequest {
    let job = JobRequest::new("tin-a", "release").wait(JOB_WAIT);
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(RUN_TIME, format!("order-{index}")))
    })
}
