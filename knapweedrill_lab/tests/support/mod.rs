//! Builders for observations, and assertions on reports, in tests of the checker.

use knapweedrill::common::HybridTime;
use knapweedrill::contract::OwnerToken;
use knapweedrill::event::{Event, EventKind};
use knapweedrill_lab::checker::{
    CallerAnswer, History, MinionStart, Report, Rule, Submission, Violation, check,
};
use knapweedrill_lab::harness::{JobOutcome, JobResponse};
use knapweedrill_lab::stand_in::minion::expected_result;

/// Microseconds per second.
pub(crate) const SECOND_US: u64 = 1_000_000;

/// The incarnation of the entry that owns the jobs.
pub(crate) const OWNER: u64 = 7;

/// Returns an owner token with the given generation.
pub(crate) fn token(generation: u32) -> OwnerToken {
    OwnerToken {
        incarnation: OWNER,
        generation,
        roster: 9,
    }
}

/// Returns an idempotent submission of two tasks, sent at 1 s and with a complete response at 2 s.
pub(crate) fn submission() -> Submission {
    let mut submission = Submission {
        token: token(0),
        team: "tin-a".into(),
        key: "key-1".into(),
        is_idempotent: true,
        echoes: vec!["lid".into(), "base".into()],
        entry: "entry-0".into(),
        submitted_us: SECOND_US,
        answered_us: 2 * SECOND_US,
        answer: CallerAnswer::Unanswered,
    };
    submission.answer = CallerAnswer::Answered(complete_response(&submission));
    submission
}

/// Returns the correct response to a submission whose tasks all succeed.
pub(crate) fn complete_response(submission: &Submission) -> JobResponse {
    let numbered = (0..).zip(&submission.echoes);
    let results = numbered.map(|(index, echo)| expected_result(echo, submission.task_id(index)));
    JobResponse {
        outcome: JobOutcome::Complete,
        reason: None,
        results: Some(results.collect()),
        retry_after_ms: None,
    }
}

/// Returns a response without results.
pub(crate) fn response_without_results(outcome: JobOutcome, reason: &str) -> CallerAnswer {
    CallerAnswer::Answered(JobResponse {
        outcome,
        reason: Some(reason.into()),
        results: None,
        retry_after_ms: None,
    })
}

/// Returns a start of a submission's first task on `minion-0`, with a run time of 100 ms.
pub(crate) fn start(submission: &Submission, start_us: u64) -> MinionStart {
    MinionStart {
        minion: "minion-0".into(),
        task: submission.task_id(0),
        attempt: 0,
        start_us,
        end_us: Some(start_us + 100_000),
    }
}

/// Returns an event of the process `entry-0` at the time `wall_us`.
pub(crate) fn event(incarnation: u64, wall_us: u64, kind: EventKind) -> Event {
    Event {
        at: HybridTime {
            wall_us,
            logical_count: 0,
        },
        process: "entry-0".into(),
        incarnation,
        kind,
    }
}

/// Asserts that the history violates exactly this rule, and returns the violations.
pub(crate) fn assert_violates_only(history: &History, rule: Rule) -> Vec<Violation> {
    let report = check(history);
    let violated = report
        .rules()
        .iter()
        .filter(|rule_report| !rule_report.violations.is_empty());
    let rules: Vec<Rule> = violated.map(|rule_report| rule_report.rule).collect();
    assert_eq!(rules, [rule], "{report}");
    report.violations().cloned().collect()
}

/// Asserts that the history was checked against this rule and violates none.
pub(crate) fn assert_clean(history: &History, rule: Rule) -> Report {
    let report = check(history);
    assert!(report.is_clean(), "{report}");
    assert!(report.checked_count(rule) > 0, "{report}");
    report
}
