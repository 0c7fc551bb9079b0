//! A minion answers after the deadline of its tasks; then it is well again.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::checker::RecordingClient;
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, JobOutcome, JobRequest, MinionSpec};
use crate::stand_in::minion::{MinionControl, MinionMode, TaskPayload};

const TASK_COUNT: u32 = 4;
const TASK_RUN: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(800);
/// A task takes 2 s and ends after its deadline.
const LATE_RUN_TIME_PERCENT: u64 = 2000;
/// How long after its deadline a job may be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(1000);
const RECOVERY_TRY_COUNT: u32 = 40;
const RETRY_PAUSE: Duration = Duration::from_millis(250);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let control = MinionControl {
        run_time_percent: LATE_RUN_TIME_PERCENT,
        ..MinionControl::new(MinionMode::Slow)
    };
    run_through(
        case,
        seed,
        control,
        short_deadline(),
        Duration::from_secs(2),
    )
}

/// Returns a job whose deadline passes before its tasks end.
pub(super) fn short_deadline() -> JobRequest {
    JobRequest::new("tin-a", "release").deadline(DEADLINE)
}

/// Submits a job while the only minion misbehaves, which has to fail in time, and then others
/// until one is complete.
pub(super) fn run_through(
    case: FaultCase,
    seed: Seed,
    control: MinionControl,
    job: JobRequest,
    aftermath: Duration,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new().entries(1).minion(MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let call = RecordingClient::new(entry_name(0), api).idempotent(false);
    run.cluster.minions()[0].control(control)?;
    let failed = call.submit(api.owner()?, "failed", &filled(job.clone(), "failed"));
    let took = Duration::from_micros(failed.answered_us - failed.submitted_us);
    let failed_outcome = failed.answer.outcome();
    run.add_submissions([failed]);
    run.cluster.minions()[0].control(MinionControl::default())?;
    thread::sleep(aftermath);
    let mut last_outcome = None;
    for number in 0..RECOVERY_TRY_COUNT {
        let name = format!("recovered-{number}");
        let submission = call.submit(api.owner()?, &name, &filled(job.clone(), &name));
        last_outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        if last_outcome == Some(JobOutcome::Complete) {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    let mut report = run.finish()?;
    report.expect(
        failed_outcome == Some(JobOutcome::Failed) && took < DEADLINE + ANSWER_MARGIN,
        format!("the job fails by its deadline; got {failed_outcome:?} after {took:?}"),
    );
    report.expect(
        last_outcome == Some(JobOutcome::Complete),
        format!("a minion that is well again gets jobs done; got {last_outcome:?}"),
    );
    Ok(report)
}

fn filled(job: JobRequest, name: &str) -> JobRequest {
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(TASK_RUN, format!("{name}-{index}")))
    })
}
