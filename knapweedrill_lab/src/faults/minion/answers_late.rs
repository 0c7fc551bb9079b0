//! A minion responds after the deadline of its tasks, then recovers.

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
const RUN_TIME: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(800);
/// A task takes 2 s, so it ends after its deadline.
const LATE_RUN_TIME_PERCENT: u64 = 2000;
/// How long after the deadline of a job the response may arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1000);
const RECOVERY_ATTEMPT_COUNT_MAX: u32 = 40;
const RETRY_PAUSE: Duration = Duration::from_millis(250);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let control = MinionControl {
        run_time_percent: LATE_RUN_TIME_PERCENT,
        ..MinionControl::new(MinionMode::Slow)
    };
    run_with_fault(
        case,
        seed,
        control,
        job_with_short_deadline(),
        Duration::from_secs(2),
    )
}

/// Returns a job whose deadline passes before its tasks end.
pub(super) fn job_with_short_deadline() -> JobRequest {
    JobRequest::new("tin-a", "release").deadline(DEADLINE)
}

/// Submits a job while the only minion is faulty, then jobs after its recovery until one completes.
///
/// The first job has to fail by its deadline. `recovery_delay` is the time from the end of the
/// fault to the next submission.
pub(super) fn run_with_fault(
    case: FaultCase,
    seed: Seed,
    control: MinionControl,
    job: JobRequest,
    recovery_delay: Duration,
) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new().entries(1).minion(MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    let api = run.cluster.entry(0).api();
    let client = RecordingClient::new(entry_name(0), api).idempotent(false);
    run.cluster.minions()[0].control(control)?;
    let failed = client.submit(api.owner()?, "failed", &with_tasks(job.clone(), "failed"));
    let response_time = Duration::from_micros(failed.answered_us - failed.submitted_us);
    let failed_outcome = failed.answer.outcome();
    run.add_submissions([failed]);
    run.cluster.minions()[0].control(MinionControl::default())?;
    thread::sleep(recovery_delay);
    let mut last_outcome = None;
    for number in 0..RECOVERY_ATTEMPT_COUNT_MAX {
        let name = format!("recovered-{number}");
        let submission = client.submit(api.owner()?, &name, &with_tasks(job.clone(), &name));
        last_outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        if last_outcome == Some(JobOutcome::Complete) {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    let mut report = run.finish()?;
    report.expect(
        failed_outcome == Some(JobOutcome::Failed) && response_time < DEADLINE + RESPONSE_MARGIN,
        format!("the job fails by its deadline; got {failed_outcome:?} after {response_time:?}"),
    );
    report.expect(
        last_outcome == Some(JobOutcome::Complete),
        format!("jobs complete after the minion has recovered; got {last_outcome:?}"),
    );
    Ok(report)
}

fn with_tasks(job: JobRequest, name: &str) -> JobRequest {
    (0..TASK_COUNT).fold(job, |job, index| {
        job.task(&TaskPayload::new(RUN_TIME, format!("{name}-{index}")))
    })
}
