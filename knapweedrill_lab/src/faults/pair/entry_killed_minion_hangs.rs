//! An entry is killed while the only minion accepts tasks and never responds.
//!
//! No process is left to cancel the calls, so the sidecar has to end them by their deadline.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::RecordingClient;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, EntryApi, JobOutcome, JobRequest, MinionSpec};
use crate::stand_in::minion::{MinionControl, MinionMode, TaskPayload};

const TARGET: usize = 0;
const OTHER: usize = 1;
const SLOT_COUNT: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(1500);
/// The time from the submission to the kill of the entry, at which every slot has a task.
const KILL_DELAY: Duration = Duration::from_millis(300);
/// Longer than the deadline plus the ejection of a minion whose tasks fail.
const RECOVERY_TIME: Duration = Duration::from_millis(3500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minion(MinionSpec::new().slots(SLOT_COUNT));
    let mut run = FaultRun::start(case, seed, cluster)?;
    let target = run.cluster.entry(TARGET).api();
    let other = run.cluster.entry(OTHER).api();
    run.cluster.minions()[0].control(MinionControl::new(MinionMode::NeverAnswer))?;
    let token = target.owner()?;
    let lost = thread::spawn(move || client(TARGET, target).submit(token, "lost", &job("lost")));
    thread::sleep(KILL_DELAY);
    run.kill_entry(TARGET)?;
    run.cluster.minions()[0].control(MinionControl::default())?;
    thread::sleep(RECOVERY_TIME);
    let next = client(OTHER, other).submit(other.owner()?, "next", &job("next"));
    let outcome = next.answer.outcome();
    let resubmission = client(OTHER, other).submit(token, "lost", &job("lost"));
    let resubmission_outcome = resubmission.answer.outcome();
    run.add_submissions([next, resubmission]);
    run.add_submissions([lost.join().map_err(|_| eyre!("the caller panicked"))?]);
    let mut report = run.finish()?;
    report.expect_complete(
        "a job after the deadline of the tasks without a response",
        outcome,
    );
    report.expect(
        resubmission_outcome == Some(JobOutcome::Failed),
        format!("the job of the killed entry fails; got {resubmission_outcome:?}"),
    );
    Ok(report)
}

fn client(number: usize, api: EntryApi) -> RecordingClient {
    RecordingClient::new(entry_name(number), api).idempotent(false)
}

fn job(name: &str) -> JobRequest {
    let job = JobRequest::new("tin-a", "release").deadline(DEADLINE);
    (0..SLOT_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(RUN_TIME, format!("{name}-{index}")))
    })
}
