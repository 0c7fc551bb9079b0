//! A job that was said not to have run did not run.

use crate::checker::index::StartIndex;
use crate::checker::{History, RuleReport, Submission, Violation};
use crate::harness::JobOutcome;

/// The reason of the answer to a malformed request.
const INVALID_REASON: &str = "invalid";

/// Checks every answer that says that a job was not run.
pub(super) fn check(history: &History, starts: &StartIndex, report: &mut RuleReport) {
    for submission in history.submissions() {
        if submission.answer.outcome() == Some(JobOutcome::NotRun) {
            report.note(find_violation(submission, history, starts));
        }
    }
}

fn find_violation(
    submission: &Submission,
    history: &History,
    starts: &StartIndex,
) -> Option<Violation> {
    let job = submission.task_id(0).job;
    let start_us = starts
        .job_starts_us(job)
        .find(|start_us| contradicts(submission, *start_us, history))?;
    Some(Violation::FalseNotRun { job, start_us })
}

/// Returns whether a start contradicts the answer.
///
/// The owner keeps its refusals, so no copy of a refused request may run, before or later; a
/// client that tries again does so under a new token, which names another job. Only a malformed
/// request may name a job that another submission has asked for properly.
fn contradicts(submission: &Submission, start_us: u64, history: &History) -> bool {
    let is_malformed = submission.answer.reason() == Some(INVALID_REASON);
    !is_malformed
        || start_us < submission.submitted_us
        || !is_explained(submission, start_us, history)
}

fn is_explained(submission: &Submission, start_us: u64, history: &History) -> bool {
    let job = submission.task_id(0).job;
    history.submissions().iter().any(|other| {
        other.task_id(0).job == job
            && other.submitted_us <= start_us
            && other.answer.outcome() != Some(JobOutcome::NotRun)
    })
}
