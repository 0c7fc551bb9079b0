//! The connection of a caller to an entry goes silent; the caller submits again over a new one.

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
const TASK_RUN: Duration = Duration::from_millis(400);
/// The caller gives up 5 s later.
const WAIT: Duration = Duration::from_secs(1);
const SILENT_AFTER: Duration = Duration::from_millis(200);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new().entries(1).minion(MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let mut listen = api.address();
    listen.set_port(HTTP_PORT + PROXY_PORT_OFFSET);
    let proxy = StreamProxy::start(listen, api.address())?;
    let token = api.owner()?;
    let through = RecordingClient::new(entry_name(0), EntryApi::new(proxy.address()));
    let cut_off_call = through.clone();
    let cut_off = thread::spawn(move || cut_off_call.submit(token, "order", &job()));
    thread::sleep(SILENT_AFTER);
    proxy.blackhole();
    let again = through.submit(token, "order", &job().wait(Duration::from_secs(10)));
    let cut_off = cut_off.join().map_err(|_| eyre!("the caller panicked"))?;
    let is_cut_off = cut_off.answer == CallerAnswer::Unanswered;
    let outcome = again.answer.outcome();
    run.add_submissions([cut_off, again]);
    let mut report = run.finish()?;
    report.expect(
        is_cut_off,
        "the connection that went silent brings no answer",
    );
    report.expect(
        outcome == Some(JobOutcome::Complete),
        format!("the job submitted again is answered complete; got {outcome:?}"),
    );
    Ok(report)
}

fn job() -> JobRequest {
    let job = JobRequest::new("tin-a", "release").wait(WAIT);
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(TASK_RUN, format!("order-{index}")))
    })
}
