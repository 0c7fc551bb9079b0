//! Tests of the checker's rules about planned stops and configurations.

mod support;

use knapweedrill::event::EventKind;
use knapweedrill_lab::checker::{
    Apply, ApplyOutcome, Availability, CallerAnswer, ConfigurationObservation, History,
    PlannedStop, RaceId, Rule, Submission, Violation, check,
};
use knapweedrill_lab::harness::JobOutcome;
use support::{
    OWNER, SECOND_US, assert_clean, assert_violates_only, event, response_without_results, start,
    submission, token,
};
use test_case::test_case;

const STOP_US: u64 = 3 * SECOND_US / 2;
const SIDECAR: u64 = 21;

fn stop_of_entry() -> PlannedStop {
    PlannedStop {
        process: "entry-0".into(),
        incarnation: OWNER,
        minion: None,
        requested_us: STOP_US,
    }
}

fn stop_of_sidecar() -> PlannedStop {
    PlannedStop {
        process: "sidecar-0".into(),
        incarnation: SIDECAR,
        minion: Some("minion-0".into()),
        requested_us: STOP_US,
    }
}

/// Returns a history in which a planned stop begins while a submission is in flight.
fn stop_during(stop: PlannedStop, submission: Submission) -> History {
    let mut history = History::new();
    history.add_planned_stop(stop);
    history.add_start(start(&submission, STOP_US - 1));
    history.add_submission(submission);
    history
}

#[test_case(stop_of_entry(); "entry")]
#[test_case(stop_of_sidecar(); "sidecar")]
fn an_answered_request_keeps_stop_cuts_nothing(stop: PlannedStop) {
    assert_clean(&stop_during(stop, submission()), Rule::StopCutsNothing);
}

#[test_case(stop_of_entry(); "entry")]
#[test_case(stop_of_sidecar(); "sidecar")]
fn an_unanswered_request_breaks_stop_cuts_nothing(stop: PlannedStop) {
    let mut submission = submission();
    submission.answer = CallerAnswer::Unanswered;
    assert_violates_only(&stop_during(stop, submission), Rule::StopCutsNothing);
}

#[test_case("shutting-down"; "shutting down")]
#[test_case("task-lost"; "task lost")]
#[test_case("owner-lost"; "owner lost")]
fn a_failure_due_to_the_stop_breaks_stop_cuts_nothing(reason: &str) {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::Failed, reason);
    let violations = assert_violates_only(
        &stop_during(stop_of_entry(), submission),
        Rule::StopCutsNothing,
    );
    assert!(matches!(
        violations[..],
        [Violation::InterruptedByPlannedStop { .. }]
    ));
}

#[test]
fn a_failure_of_the_task_keeps_stop_cuts_nothing() {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::Failed, "task-failed");
    assert_clean(
        &stop_during(stop_of_entry(), submission),
        Rule::StopCutsNothing,
    );
}

#[test]
fn an_unanswered_relayed_request_breaks_stop_cuts_nothing() {
    let mut submission = submission();
    submission.entry = "entry-1".into();
    submission.answer = CallerAnswer::Unanswered;
    assert_violates_only(
        &stop_during(stop_of_entry(), submission),
        Rule::StopCutsNothing,
    );
}

#[test]
fn a_request_sent_after_the_stop_is_not_checked() {
    let mut submission = submission();
    submission.submitted_us = STOP_US;
    submission.answer = CallerAnswer::Unanswered;
    let report = check(&stop_during(stop_of_entry(), submission));
    assert_eq!(report.checked_count(Rule::StopCutsNothing), 0);
}

fn refused_while_stopping() -> History {
    let mut submission = submission();
    submission.answer = response_without_results(JobOutcome::NotRun, "shutting-down");
    let mut history = History::new();
    history.add_planned_stop(stop_of_entry());
    history.add_submission(submission);
    history
}

#[test]
fn a_refusal_of_a_job_that_was_not_accepted_keeps_stop_cuts_nothing() {
    assert_clean(&refused_while_stopping(), Rule::StopCutsNothing);
}

#[test]
fn a_refusal_of_an_accepted_job_breaks_stop_cuts_nothing() {
    let mut history = refused_while_stopping();
    let accepted = EventKind::JobAccepted {
        job: submission().task_id(0).job,
        token: token(0),
        task_count: 2,
    };
    history.add_events([event(OWNER, SECOND_US, accepted)]);
    assert_violates_only(&history, Rule::StopCutsNothing);
}

fn apply(race: Option<RaceId>, outcome: ApplyOutcome) -> Apply {
    Apply {
        race,
        answered_us: SECOND_US,
        outcome,
    }
}

fn observation(version: u64, at_us: u64) -> ConfigurationObservation {
    ConfigurationObservation {
        process: "entry-0".into(),
        incarnation: OWNER,
        version,
        at_us,
    }
}

fn accepted_while_available(from_us: u64, until_us: u64) -> History {
    let mut history = History::new();
    history.add_apply(apply(None, ApplyOutcome::Accepted(5)));
    history.add_availability(Availability {
        process: "entry-0".into(),
        incarnation: OWNER,
        from_us,
        until_us,
    });
    history
}

#[test_case(5, 4 * SECOND_US; "just in time")]
#[test_case(6, 2 * SECOND_US; "a later version")]
fn a_version_in_time_keeps_configuration_in_force(version: u64, at_us: u64) {
    let mut history = accepted_while_available(0, 9 * SECOND_US);
    history.add_configuration_observation(observation(version, at_us));
    assert_clean(&history, Rule::ConfigurationInForce);
}

#[test]
fn an_event_in_time_keeps_configuration_in_force() {
    let mut history = accepted_while_available(0, 9 * SECOND_US);
    let in_force = EventKind::ConfigurationInForce { version: 5 };
    history.add_events([event(OWNER, 2 * SECOND_US, in_force)]);
    assert_clean(&history, Rule::ConfigurationInForce);
}

#[test_case(4, 2 * SECOND_US; "an older version")]
#[test_case(5, 4 * SECOND_US + 1; "too late")]
fn a_version_not_in_time_breaks_configuration_in_force(version: u64, at_us: u64) {
    let mut history = accepted_while_available(0, 9 * SECOND_US);
    history.add_configuration_observation(observation(version, at_us));
    let violations = assert_violates_only(&history, Rule::ConfigurationInForce);
    assert!(matches!(
        violations[..],
        [Violation::ConfigurationLate { version: 5, .. }]
    ));
}

#[test_case(2 * SECOND_US, 9 * SECOND_US; "started later")]
#[test_case(0, 4 * SECOND_US - 1; "frozen in between")]
fn a_process_not_available_until_the_deadline_is_not_checked(from_us: u64, until_us: u64) {
    let report = check(&accepted_while_available(from_us, until_us));
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.checked_count(Rule::ConfigurationInForce), 0);
}

#[test]
fn increasing_versions_keep_configuration_never_reverts() {
    let mut history = History::new();
    history.add_configuration_observation(observation(5, 2));
    history.add_configuration_observation(observation(4, 1));
    history.add_configuration_observation(observation(5, 3));
    let report = assert_clean(&history, Rule::ConfigurationNeverReverts);
    assert_eq!(report.checked_count(Rule::ConfigurationNeverReverts), 2);
}

#[test]
fn a_lower_version_breaks_configuration_never_reverts() {
    let mut history = History::new();
    history.add_configuration_observation(observation(5, 1));
    history.add_configuration_observation(observation(4, 2));
    let violations = assert_violates_only(&history, Rule::ConfigurationNeverReverts);
    assert!(matches!(
        violations[..],
        [Violation::ConfigurationReverted { from: 5, to: 4, .. }]
    ));
}

#[test]
fn a_lower_version_in_events_breaks_configuration_never_reverts() {
    let mut history = History::new();
    let versions = [(1, 5), (2, 4)];
    history.add_events(versions.map(|(wall_us, version)| {
        event(OWNER, wall_us, EventKind::ConfigurationInForce { version })
    }));
    assert_violates_only(&history, Rule::ConfigurationNeverReverts);
}

#[test]
fn a_new_run_of_a_process_may_begin_with_a_lower_version() {
    let mut history = History::new();
    history.add_configuration_observation(observation(5, 1));
    history.add_configuration_observation(observation(5, 2));
    history.add_configuration_observation(ConfigurationObservation {
        incarnation: OWNER + 1,
        ..observation(4, 3)
    });
    assert_clean(&history, Rule::ConfigurationNeverReverts);
}

fn race(outcomes: &[ApplyOutcome]) -> History {
    let mut history = History::new();
    for outcome in outcomes {
        history.add_apply(apply(Some(1), *outcome));
    }
    history
}

#[test_case(&[ApplyOutcome::Accepted(1), ApplyOutcome::Refused]; "one winner")]
#[test_case(&[ApplyOutcome::Accepted(1), ApplyOutcome::Unknown]; "one winner beside an unknown")]
#[test_case(&[ApplyOutcome::Refused, ApplyOutcome::Unknown]; "the winner may be unknown")]
fn one_winner_keeps_one_race_winner(outcomes: &[ApplyOutcome]) {
    assert_clean(&race(outcomes), Rule::OneRaceWinner);
}

#[test_case(&[ApplyOutcome::Accepted(1), ApplyOutcome::Accepted(2)], 2; "two winners")]
#[test_case(&[ApplyOutcome::Refused, ApplyOutcome::Refused], 0; "no winner")]
fn no_winner_or_several_break_one_race_winner(outcomes: &[ApplyOutcome], expected_count: usize) {
    let violations = assert_violates_only(&race(outcomes), Rule::OneRaceWinner);
    let expected = Violation::RaceWithoutOneWinner {
        race: 1,
        winner_count: expected_count,
    };
    assert_eq!(violations, [expected]);
}
