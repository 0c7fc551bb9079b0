//! Tests of the checker's rules about starts and answers.

mod support;

use knapweedrill::event::{Event, EventKind};
use knapweedrill::job::TaskId;
use knapweedrill_lab::checker::{
    CallerAnswer, Departure, History, MinionStart, Rule, Submission, Violation, check,
};
use knapweedrill_lab::harness::{JobOutcome, JobResponse};
use knapweedrill_lab::stand_in::minion::{StartRecord, StartsResponse, TaskLabel, expected_result};
use support::{
    OWNER, SECOND_US, assert_clean, assert_violates_only, complete_response, event,
    response_without_results, start, submission, token,
};
use test_case::test_case;

const START_US: u64 = 3 * SECOND_US / 2;

fn history(submissions: Vec<Submission>, starts: Vec<MinionStart>) -> History {
    let mut history = History::new();
    for submission in submissions {
        history.add_submission(submission);
    }
    for start in starts {
        history.add_start(start);
    }
    history
}

fn started_event(task: TaskId, sidecar: u64, wall_us: u64) -> Event {
    event(
        sidecar,
        wall_us,
        EventKind::TaskStarted { task, attempt: 0 },
    )
}

#[test]
fn an_empty_history_leaves_all_rules_unchecked() {
    let report = check(&History::new());
    assert!(report.is_clean());
    assert!(report.unchecked_rules().eq(Rule::ALL));
    assert!(report.to_string().contains("start-once: checked nothing"));
}

#[test]
fn one_start_and_a_resubmission_keep_start_once() {
    let first = submission();
    let retry = submission();
    let start = start(&first, START_US);
    assert_clean(&history(vec![first, retry], vec![start]), Rule::StartOnce);
}

#[test]
fn a_start_at_two_minions_breaks_start_once() {
    let submission = submission();
    let first = start(&submission, START_US);
    let mut second = start(&submission, START_US + 1);
    second.minion = "minion-1".into();
    let history = history(vec![submission], vec![first, second]);
    let violations = assert_violates_only(&history, Rule::StartOnce);
    assert!(matches!(
        violations[..],
        [Violation::StartedTwice {
            start_count: 2,
            index: 0,
            ..
        }]
    ));
}

#[test]
fn a_start_by_a_second_owner_breaks_start_once() {
    let submission = submission();
    let first = start(&submission, START_US);
    let mut second = start(&submission, START_US + 1);
    second.task.owner = OWNER + 1;
    assert_violates_only(
        &history(vec![submission], vec![first, second]),
        Rule::StartOnce,
    );
}

#[test]
fn two_starts_reported_only_by_sidecars_break_start_once() {
    let submission = submission();
    let task = submission.task_id(0);
    let mut history = history(vec![submission], vec![]);
    history.add_events([
        started_event(task, 1, START_US),
        started_event(task, 2, START_US),
    ]);
    assert_violates_only(&history, Rule::StartOnce);
}

#[test]
fn a_start_reported_by_minion_and_sidecar_counts_once() {
    let submission = submission();
    let task = submission.task_id(0);
    let start = start(&submission, START_US);
    let mut history = history(vec![submission], vec![start]);
    history.add_events([started_event(task, 1, START_US)]);
    // The harness may collect the same event more than once.
    history.add_events([started_event(task, 1, START_US)]);
    assert_clean(&history, Rule::StartOnce);
}

#[test]
fn repeated_observations_of_a_minion_count_once() {
    let submission = submission();
    let record = StartRecord {
        task: TaskLabel(submission.task_id(0)),
        attempt: 0,
        start_us: START_US,
        end_us: None,
    };
    let mut answer = StartsResponse {
        service: "embossing".into(),
        leaving_since_us: None,
        max_running_count: 1,
        starts: vec![record],
    };
    let mut history = history(vec![submission], vec![]);
    history.observe_minion("minion-0", &answer);
    answer.starts[0].end_us = Some(START_US + 1);
    history.observe_minion("minion-0", &answer);
    assert_clean(&history, Rule::StartOnce);
    assert_eq!(history.starts_at("minion-0")[0].end_us, Some(START_US + 1));

    answer.starts.push(record);
    history.observe_minion("minion-0", &answer);
    assert_violates_only(&history, Rule::StartOnce);
}

#[test]
fn a_complete_answer_keeps_whole_answers() {
    assert_clean(&history(vec![submission()], vec![]), Rule::WholeAnswers);
}

#[test]
fn a_failure_without_results_keeps_whole_answers() {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::Failed, "task-lost");
    assert_clean(&history(vec![submission], vec![]), Rule::WholeAnswers);
}

#[test]
fn a_missing_result_breaks_whole_answers() {
    let mut submission = submission();
    let mut answer = complete_response(&submission);
    answer
        .results
        .as_mut()
        .expect("a complete answer has results")
        .pop();
    submission.answer = CallerAnswer::Answered(answer);
    let violations = assert_violates_only(&history(vec![submission], vec![]), Rule::WholeAnswers);
    assert!(matches!(
        violations[..],
        [Violation::PartialAnswer {
            result_count: 1,
            task_count: 2,
            ..
        }]
    ));
}

#[test]
fn results_beside_a_failure_break_whole_answers() {
    let mut submission = submission();
    submission.answer = CallerAnswer::Answered(JobResponse {
        outcome: JobOutcome::Failed,
        ..complete_response(&submission)
    });
    assert_violates_only(&history(vec![submission], vec![]), Rule::WholeAnswers);
}

#[test_case(0, 1; "the second task has the result of the first")]
#[test_case(1, 0; "the first task has the result of the second")]
fn a_result_of_another_task_breaks_whole_answers(from: usize, to: usize) {
    let mut submission = submission();
    let mut answer = complete_response(&submission);
    let results = answer
        .results
        .as_mut()
        .expect("a complete answer has results");
    results[to] = results[from].clone();
    submission.answer = CallerAnswer::Answered(answer);
    assert_violates_only(&history(vec![submission], vec![]), Rule::WholeAnswers);
}

#[test]
fn a_result_of_another_job_breaks_whole_answers() {
    let mut submission = submission();
    let mut other = submission.clone();
    other.key = "key-2".into();
    submission.answer = CallerAnswer::Answered(complete_response(&other));
    let history = history(vec![submission.clone()], vec![]);
    let violations = assert_violates_only(&history, Rule::WholeAnswers);
    let expected = Violation::MismatchedResult {
        job: submission.task_id(0).job,
        index: 0,
        result: expected_result("lid", other.task_id(0)),
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn a_malformed_answer_breaks_whole_answers() {
    let mut submission = submission();
    submission.answer = CallerAnswer::Malformed("{\"outcome\":\"comp".into());
    assert_violates_only(&history(vec![submission], vec![]), Rule::WholeAnswers);
}

#[test]
fn a_refusal_without_a_start_keeps_not_run_is_true() {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::NotRun, "overloaded");
    assert_clean(&history(vec![submission], vec![]), Rule::NotRunIsTrue);
}

fn refused_and_retried(reason: &str) -> History {
    let mut refused = submission();
    refused.answer = response_without_results(JobOutcome::NotRun, reason);
    let mut retry = submission();
    retry.submitted_us = 3 * SECOND_US;
    retry.answered_us = 4 * SECOND_US;
    let start = start(&retry, 3 * SECOND_US + 1);
    history(vec![refused, retry], vec![start])
}

#[test]
fn a_start_of_the_corrected_request_keeps_not_run_is_true() {
    assert_clean(&refused_and_retried("invalid"), Rule::NotRunIsTrue);
}

#[test]
fn a_start_of_a_refused_job_after_a_retry_breaks_not_run_is_true() {
    assert_violates_only(&refused_and_retried("overloaded"), Rule::NotRunIsTrue);
}

#[test_case(START_US; "before the answer")]
#[test_case(5 * SECOND_US; "after the answer")]
fn a_start_of_a_refused_job_breaks_not_run_is_true(start_us: u64) {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::NotRun, "overloaded");
    let start = start(&submission, start_us);
    let violations =
        assert_violates_only(&history(vec![submission], vec![start]), Rule::NotRunIsTrue);
    assert!(matches!(
        violations[..],
        [Violation::StartedDespiteNotRun { .. }]
    ));
}

#[test]
fn a_start_before_a_retry_breaks_not_run_is_true() {
    let mut refused = submission();
    refused.answer = response_without_results(JobOutcome::NotRun, "overloaded");
    let mut retry = submission();
    retry.submitted_us = 3 * SECOND_US;
    let start = start(&refused, START_US);
    assert_violates_only(
        &history(vec![refused, retry], vec![start]),
        Rule::NotRunIsTrue,
    );
}

#[test]
fn a_refusal_of_a_started_job_breaks_not_run_is_true() {
    let first = submission();
    let mut retry = submission();
    retry.submitted_us = START_US + 1;
    retry.answer = response_without_results(JobOutcome::NotRun, "owner-lost");
    let start = start(&first, START_US);
    assert_violates_only(
        &history(vec![first, retry], vec![start]),
        Rule::NotRunIsTrue,
    );
}

fn non_idempotent(generation: u32) -> Submission {
    let mut submission = Submission {
        token: token(generation),
        is_idempotent: false,
        ..submission()
    };
    submission.answer = CallerAnswer::Answered(complete_response(&submission));
    submission
}

#[test]
fn one_start_keeps_non_idempotent_once() {
    let submission = non_idempotent(0);
    let start = start(&submission, START_US);
    let report = assert_clean(
        &history(vec![submission], vec![start]),
        Rule::NonIdempotentOnce,
    );
    assert_eq!(report.checked_count(Rule::NonIdempotentOnce), 2);
}

#[test]
fn a_start_under_each_of_two_tokens_breaks_non_idempotent_once() {
    let first = non_idempotent(0);
    let second = non_idempotent(1);
    let starts = vec![start(&first, START_US), start(&second, START_US)];
    let violations = assert_violates_only(
        &history(vec![first, second], starts),
        Rule::NonIdempotentOnce,
    );
    assert!(matches!(
        violations[..],
        [Violation::NonIdempotentStartedTwice { start_count: 2, .. }]
    ));
}

#[test]
fn an_idempotent_request_may_start_under_two_tokens() {
    let first = submission();
    let mut second = submission();
    second.token = token(1);
    second.answer = CallerAnswer::Answered(complete_response(&second));
    let starts = vec![start(&first, START_US), start(&second, START_US)];
    assert_clean(&history(vec![first, second], starts), Rule::StartOnce);
}

fn leaving_history(start_after_us: u64) -> History {
    let submission = submission();
    let start = start(&submission, SECOND_US + start_after_us);
    let mut history = history(vec![submission], vec![start]);
    history.add_departure(Departure {
        minion: "minion-0".into(),
        announced_us: SECOND_US,
    });
    history
}

#[test]
fn a_start_soon_after_the_announcement_keeps_leaving_gets_nothing() {
    assert_clean(&leaving_history(3 * SECOND_US), Rule::LeavingGetsNothing);
}

#[test]
fn a_start_long_after_the_announcement_breaks_leaving_gets_nothing() {
    let history = leaving_history(3 * SECOND_US + 1);
    assert_violates_only(&history, Rule::LeavingGetsNothing);
}

fn started(submission: &Submission, sidecar: u64, attempt: u32, at_us: u64) -> Event {
    let task = submission.task_id(0);
    event(sidecar, at_us, EventKind::TaskStarted { task, attempt })
}

fn fenced(submission: &Submission, sidecar: u64, attempt: u32, at_us: u64) -> Event {
    let task = submission.task_id(0);
    event(sidecar, at_us, EventKind::TaskFenced { task, attempt })
}

#[test]
fn a_fenced_start_does_not_count() {
    let submission = submission();
    let mut history = History::new();
    history.add_events([
        started(&submission, 20, 0, SECOND_US),
        fenced(&submission, 20, 0, SECOND_US + 1),
        started(&submission, 21, 1, SECOND_US + 2),
    ]);
    history.add_submission(submission);
    assert_clean(&history, Rule::StartOnce);
}

#[test]
fn a_fenced_start_counts_if_the_minion_recorded_it() {
    let submission = submission();
    let mut history = History::new();
    history.add_start(start(&submission, SECOND_US));
    history.add_start(start(&submission, SECOND_US + 2));
    history.add_events([
        started(&submission, 20, 0, SECOND_US),
        fenced(&submission, 20, 0, SECOND_US + 1),
        started(&submission, 21, 1, SECOND_US + 2),
    ]);
    history.add_submission(submission);
    assert_violates_only(&history, Rule::StartOnce);
}

#[test]
fn a_fenced_start_cancels_only_the_start_before_it() {
    let submission = submission();
    let mut history = History::new();
    history.add_events([
        started(&submission, 20, 0, SECOND_US),
        started(&submission, 20, 0, SECOND_US + 1),
        fenced(&submission, 20, 0, SECOND_US + 2),
        started(&submission, 20, 0, SECOND_US + 3),
    ]);
    history.add_submission(submission);
    assert_violates_only(&history, Rule::StartOnce);
}
