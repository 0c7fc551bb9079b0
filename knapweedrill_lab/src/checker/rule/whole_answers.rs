//! An answer has either the results of all tasks or none, and only the caller's own results.

use std::iter;

use knapweedrill::common::TaskIndex;

use crate::checker::{CallerAnswer, History, RuleReport, Submission, Violation};
use crate::harness::{JobOutcome, JobResponse};
use crate::stand_in::minion::expected_result;

/// Checks every response that a caller got.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for submission in history.submissions() {
        match &submission.answer {
            CallerAnswer::Answered(answer) => report.record(find_violation(submission, answer)),
            CallerAnswer::Malformed(text) => report.record(Some(Violation::MalformedAnswer {
                job: submission.task_id(0).job,
                text: text.clone(),
            })),
            CallerAnswer::Unanswered => {}
        }
    }
}

fn find_violation(submission: &Submission, answer: &JobResponse) -> Option<Violation> {
    let results = answer.results.as_deref().unwrap_or_default();
    let task_count = match answer.outcome {
        JobOutcome::Complete => submission.echoes.len(),
        JobOutcome::Failed | JobOutcome::NotRun | JobOutcome::Running | JobOutcome::Unknown => 0,
    };
    if results.len() != task_count {
        return Some(Violation::PartialAnswer {
            job: submission.task_id(0).job,
            result_count: results.len(),
            task_count,
        });
    }
    find_mismatch(submission, results)
}

fn find_mismatch(submission: &Submission, results: &[String]) -> Option<Violation> {
    let numbered = (0 as TaskIndex..).zip(iter::zip(results, &submission.echoes));
    for (index, (result, echo)) in numbered {
        let task = submission.task_id(index);
        if *result != expected_result(echo, task) {
            return Some(Violation::MismatchedResult {
                job: task.job,
                index,
                result: result.clone(),
            });
        }
    }
    None
}
