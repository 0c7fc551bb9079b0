//! A job that was answered as not run did not start.

use crate::checker::index::StartIndex;
use crate::checker::{History, RuleReport, Submission, Violation};
use crate::harness::JobOutcome;

/// The reason in the answer to a malformed request.
const INVALID_REASON: &str = "invalid";

/// Checks every answer that reports a job as not run.
pub(super) fn check(history: &History, starts: &StartIndex, report: &mut RuleReport) {
    for submission in history.submissions() {
        if submission.answer.outcome() == Some(JobOutcome::NotRun) {
            report.record(find_violation(submission, history, starts));
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
    Some(Violation::StartedDespiteNotRun { job, start_us })
}

/// Returns whether a start contradicts the answer.
///
/// The owner remembers its refusals, so a refused job must not start before or after the refusal.
/// A client retries under a new token, which makes it another job. Only a malformed request may
/// share its job with another, well-formed submission.
fn contradicts(submission: &Submission, start_us: u64, history: &History) -> bool {
    let is_malformed = submission.answer.reason() == Some(INVALID_REASON);
    !is_malformed
        || start_us < submission.submitted_us
        || !is_explained(submission, start_us, history)
}

/// Returns whether another submission of the same job accounts for a start.
fn is_explained(submission: &Submission, start_us: u64, history: &History) -> bool {
    let job = submission.task_id(0).job;
    history.submissions().iter().any(|other| {
        other.task_id(0).job == job
            && other.submitted_us <= start_us
            && other.answer.outcome() != Some(JobOutcome::NotRun)
    })
}
