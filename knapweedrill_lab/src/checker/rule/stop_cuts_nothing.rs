//! A planned stop interrupts no request in flight.

use knapweedrill::event::EventKind;

use crate::checker::{History, MinionStart, PlannedStop, RuleReport, Submission, Violation};
use crate::harness::JobOutcome;

/// The reasons in failures and refusals of interrupted requests.
const INTERRUPTION_REASONS: [&str; 3] = ["shutting-down", "task-lost", "owner-lost"];

/// Checks every request that involved a process and was in flight when its planned stop began.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for stop in history.planned_stops() {
        let submissions = history.submissions().iter();
        for submission in submissions.filter(|submission| affects(stop, submission, history)) {
            let violation = Violation::InterruptedByPlannedStop {
                process: stop.process.clone(),
                job: submission.task_id(0).job,
            };
            report.record(is_interrupted(submission, history).then_some(violation));
        }
    }
}

/// Returns whether a submission was in flight and involved the stopping process.
fn affects(stop: &PlannedStop, submission: &Submission, history: &History) -> bool {
    submission.is_in_flight_at(stop.requested_us)
        && (submission.entry == stop.process
            || submission.token.incarnation == stop.incarnation
            || ran_on_its_minion(stop, submission, history))
}

/// Returns whether a task of the job ran on the minion of a stopping sidecar.
fn ran_on_its_minion(stop: &PlannedStop, submission: &Submission, history: &History) -> bool {
    let Some(minion) = &stop.minion else {
        return false;
    };
    let job = submission.task_id(0).job;
    let mut starts = history.starts_at(minion).iter();
    starts.any(|start| start.task.job == job && is_running_at(start, stop.requested_us))
}

fn is_running_at(start: &MinionStart, at_us: u64) -> bool {
    start.start_us <= at_us && start.end_us.is_none_or(|end_us| end_us >= at_us)
}

fn is_interrupted(submission: &Submission, history: &History) -> bool {
    match submission.answer.outcome() {
        None => true,
        Some(JobOutcome::Failed) => has_interruption_reason(submission),
        // A request that arrives after the stop began may be refused, an accepted one may not.
        Some(JobOutcome::NotRun) => {
            has_interruption_reason(submission) && was_accepted(submission, history)
        }
        Some(JobOutcome::Unknown) => was_accepted(submission, history),
        Some(JobOutcome::Complete | JobOutcome::Running) => false,
    }
}

fn has_interruption_reason(submission: &Submission) -> bool {
    let reason = submission.answer.reason();
    reason.is_some_and(|reason| INTERRUPTION_REASONS.contains(&reason))
}

fn was_accepted(submission: &Submission, history: &History) -> bool {
    let submitted = submission.task_id(0).job;
    history
        .events()
        .any(|event| matches!(event.kind, EventKind::JobAccepted { job, .. } if job == submitted))
}
