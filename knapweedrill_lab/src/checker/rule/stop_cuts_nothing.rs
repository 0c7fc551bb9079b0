//! A planned stop cuts no request in flight.

use knapweedrill::event::EventKind;

use crate::checker::{History, MinionStart, PlannedStop, RuleReport, Submission, Violation};
use crate::harness::JobOutcome;

/// The reasons of a failure or refusal by which a request was cut.
const CUT_REASONS: [&str; 3] = ["shutting-down", "task-lost", "owner-lost"];

/// Checks every request that was in flight through a process when its planned stop began.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for stop in history.planned_stops() {
        let submissions = history.submissions().iter();
        for submission in submissions.filter(|submission| concerns(stop, submission, history)) {
            let violation = Violation::CutByPlannedStop {
                process: stop.process.clone(),
                job: submission.task_id(0).job,
            };
            report.note(is_cut(submission, history).then_some(violation));
        }
    }
}

fn concerns(stop: &PlannedStop, submission: &Submission, history: &History) -> bool {
    submission.is_in_flight_at(stop.begun_us)
        && (submission.entry == stop.process
            || submission.token.incarnation == stop.incarnation
            || runs_beside(stop, submission, history))
}

/// Returns whether a task of the job ran on the minion beside the process.
fn runs_beside(stop: &PlannedStop, submission: &Submission, history: &History) -> bool {
    let Some(minion) = &stop.minion else {
        return false;
    };
    let job = submission.task_id(0).job;
    let mut starts = history.starts_at(minion).iter();
    starts.any(|start| start.task.job == job && is_running_at(start, stop.begun_us))
}

fn is_running_at(start: &MinionStart, at_us: u64) -> bool {
    start.start_us <= at_us && start.end_us.is_none_or(|end_us| end_us >= at_us)
}

fn is_cut(submission: &Submission, history: &History) -> bool {
    match submission.answer.outcome() {
        None => true,
        Some(JobOutcome::Failed) => has_cut_reason(submission),
        // A request that arrives after the stop began may be refused, but not an accepted one.
        Some(JobOutcome::NotRun) => has_cut_reason(submission) && was_accepted(submission, history),
        Some(JobOutcome::Unknown) => was_accepted(submission, history),
        Some(JobOutcome::Complete | JobOutcome::Running) => false,
    }
}

fn has_cut_reason(submission: &Submission) -> bool {
    let reason = submission.answer.reason();
    reason.is_some_and(|reason| CUT_REASONS.contains(&reason))
}

fn was_accepted(submission: &Submission, history: &History) -> bool {
    let submitted = submission.task_id(0).job;
    history
        .events()
        .any(|event| matches!(event.kind, EventKind::JobAccepted { job, .. } if job == submitted))
}
