//! An entry is killed before it hands out any task of a job, since all slots are taken.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::checker::{RecordingClient, Submission};
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, EntryApi, JobOutcome, JobRequest, MinionSpec};
use crate::stand_in::minion::TaskPayload;

const OWNER: usize = 0;
const OTHER: usize = 1;
const SLOT_COUNT: u32 = 4;
/// More tasks than slots, so that the tasks prefetched by the sidecar are of this job as well.
const BLOCKING_TASK_COUNT: u32 = 8;
const BLOCKING_RUN_TIME: Duration = Duration::from_secs(3);
const WAITING_TASK_COUNT: u32 = 5;
const WAITING_RUN_TIME: Duration = Duration::from_millis(20);
const SUBMISSION_GAP: Duration = Duration::from_millis(400);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minion(MinionSpec::new().slots(SLOT_COUNT));
    let mut run = FaultRun::start(case, seed, cluster)?;
    let owner = run.cluster.entry(OWNER).api();
    let other = run.cluster.entry(OTHER).api();

    let blocking_job = job(BLOCKING_TASK_COUNT, BLOCKING_RUN_TIME, "blocking");
    let blocking_token = other.owner()?;
    let blocking = thread::spawn(move || {
        client(OTHER, other).submit(blocking_token, "blocking", &blocking_job)
    });
    thread::sleep(SUBMISSION_GAP);
    let waiting_job = job(WAITING_TASK_COUNT, WAITING_RUN_TIME, "waiting");
    let waiting_token = owner.owner()?;
    let first_job = waiting_job.clone();
    let first =
        thread::spawn(move || client(OWNER, owner).submit(waiting_token, "waiting", &first_job));
    thread::sleep(SUBMISSION_GAP);
    run.kill_entry(OWNER)?;

    let first_retry = client(OTHER, other).submit(waiting_token, "waiting", &waiting_job);
    let second_retry = client(OTHER, other).submit(waiting_token, "waiting", &waiting_job);
    let outcomes = [&first_retry, &second_retry].map(|submission| submission.answer.outcome());
    run.add_submissions([first_retry, second_retry]);
    run.add_submissions(join(first));
    run.add_submissions(join(blocking));
    let mut report = run.finish()?;
    report.expect(
        outcomes == [Some(JobOutcome::NotRun); 2],
        format!("both resubmissions are reported as not run; got {outcomes:?}"),
    );
    Ok(report)
}

fn client(number: usize, api: EntryApi) -> RecordingClient {
    RecordingClient::new(entry_name(number), api)
}

fn job(task_count: u32, run_time: Duration, name: &str) -> JobRequest {
    let job = JobRequest::new("tin-a", "release").wait(Duration::from_secs(20));
    (0..task_count).fold(job, |job, index| {
        job.task(&TaskPayload::new(run_time, format!("{name}-{index}")))
    })
}

fn join(thread: thread::JoinHandle<Submission>) -> Option<Submission> {
    thread.join().ok()
}
