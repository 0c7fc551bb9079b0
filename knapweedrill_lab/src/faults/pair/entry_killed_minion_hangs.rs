//! An entry is killed while the only minion takes tasks and never answers.
//!
//! Nobody is left who cancels the calls, so the sidecar has to end them by their deadline.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

use crate::checker::RecordingClient;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun, Seed};
use crate::harness::{ClusterBuilder, EntryApi, JobOutcome, JobRequest, MinionSpec};
use crate::stand_in::minion::{MinionControl, MinionMode, TaskPayload};

const VICTIM: usize = 0;
const OTHER: usize = 1;
const SLOT_COUNT: u32 = 4;
const TASK_RUN: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(1500);
/// When the entry is killed, with a task in every slot.
const KILLED_AFTER: Duration = Duration::from_millis(300);
/// Longer than the deadline and the ejection of a minion whose tasks fail.
const RECOVERY: Duration = Duration::from_millis(3500);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minion(MinionSpec::new().slots(SLOT_COUNT));
    let mut run = FaultRun::start(case, seed, cluster)?;
    let victim = run.cluster.entry(VICTIM).api();
    let other = run.cluster.entry(OTHER).api();
    run.cluster.minions()[0].control(MinionControl::new(MinionMode::NeverAnswer))?;
    let token = victim.owner()?;
    let lost = thread::spawn(move || call(VICTIM, victim).submit(token, "lost", &job("lost")));
    thread::sleep(KILLED_AFTER);
    run.kill_entry(VICTIM)?;
    run.cluster.minions()[0].control(MinionControl::default())?;
    thread::sleep(RECOVERY);
    let next = call(OTHER, other).submit(other.owner()?, "next", &job("next"));
    let outcome = next.answer.outcome();
    let repeated = call(OTHER, other).submit(token, "lost", &job("lost"));
    let repeated_outcome = repeated.answer.outcome();
    run.add_submissions([next, repeated]);
    run.add_submissions([lost.join().map_err(|_| eyre!("the caller panicked"))?]);
    let mut report = run.finish()?;
    report.expect_complete("a job after the deadline of the hanging tasks", outcome);
    report.expect(
        repeated_outcome == Some(JobOutcome::Failed),
        format!("the job of the killed entry fails; got {repeated_outcome:?}"),
    );
    Ok(report)
}

fn call(number: usize, api: EntryApi) -> RecordingClient {
    RecordingClient::new(entry_name(number), api).idempotent(false)
}

fn job(name: &str) -> JobRequest {
    let job = JobRequest::new("tin-a", "release").deadline(DEADLINE);
    (0..SLOT_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(TASK_RUN, format!("{name}-{index}")))
    })
}
