//! JSON bodies of the HTTP interface: round trips, and rejection of malformed or unknown fields.

use std::time::Duration;

use knapweedrill::api::{
    Content, JobRequest, JobResponse, MinionRequest, OwnerResponse, ResponseError, WAIT_DEFAULT,
};
use knapweedrill::common::HybridTime;
use knapweedrill::contract::{Class, OwnerToken};
use knapweedrill::entry::{CallerRequest, CallerResponse};
use knapweedrill::event::{Event, EventKind};
use knapweedrill::job::{Failure, JobSpec, Outcome, Refusal, TaskSpec};
use test_case::test_case;

const TOKEN: OwnerToken = OwnerToken {
    incarnation: 1,
    generation: 2,
    roster: 3,
};

fn spec() -> JobSpec {
    JobSpec {
        team: "tin-a".to_owned(),
        kind: "proof".to_owned(),
        class: Some(Class::Urgent),
        deadline: Some(Duration::from_millis(1_500)),
        idempotent: Some(true),
        tasks: vec![
            TaskSpec {
                payload: "blüte \"1\"".into(),
                hint: Some(Duration::from_millis(80)),
            },
            TaskSpec {
                payload: vec![0xff, 0x00, 0x1f],
                hint: None,
            },
        ],
    }
}

fn submit() -> CallerRequest {
    CallerRequest::Submit {
        token: TOKEN,
        key: "k".to_owned(),
        spec: spec(),
        wait: Duration::from_secs(1),
    }
}

fn status() -> CallerRequest {
    CallerRequest::Status {
        token: TOKEN,
        team: "tin-a".to_owned(),
        key: "k".to_owned(),
        wait: Duration::ZERO,
    }
}

#[test]
fn job_request_round_trips() {
    let body = serde_json::to_string(&JobRequest::new(spec(), Duration::from_secs(1))).unwrap();
    let request: JobRequest = serde_json::from_str(&body).unwrap();
    let request = request.into_caller_request(TOKEN, "k".to_owned());
    assert_eq!(request, Ok(submit()));
}

#[test]
fn omitted_fields_of_a_job_request_get_defaults() {
    let body = r#"{"team":"a","kind":"b","tasks":[{"payload":"x","hint_ms":5}]}"#;
    let request: JobRequest = serde_json::from_str(body).unwrap();
    assert_eq!(request.wait(), WAIT_DEFAULT);
    let spec = request.into_spec().unwrap();
    assert_eq!(spec.tasks[0].payload, b"x");
    assert_eq!(spec.tasks[0].hint, Some(Duration::from_millis(5)));
    assert_eq!(
        (spec.class, spec.deadline, spec.idempotent),
        (None, None, None)
    );
}

#[test_case(r#"{"team":"a","kind":"b","tasks":[],"x":1}"#; "unknown field")]
#[test_case(r#"{"team":"a","team":"a","kind":"b","tasks":[]}"#; "duplicate field")]
#[test_case(r#"{"team":"a","kind":"b"}"#; "no tasks")]
#[test_case(r#"{"team":"a","kind":"b","class":"low","tasks":[]}"#; "unknown class")]
#[test_case(r#"{"team":"a","kind":"b","deadline_ms":-1,"tasks":[]}"#; "negative time")]
#[test_case(r#"{"team":"a","kind":"b","tasks":[{"payload":1}]}"#; "payload is a number")]
#[test_case(r#"{"team":"a","kind":"b","tasks":[{"payload":"x","y":1}]}"#; "unknown field of a task")]
fn malformed_body_is_rejected(body: &str) {
    assert!(serde_json::from_str::<JobRequest>(body).is_err());
}

#[test_case(r#"{"team":"A","kind":"b","tasks":[{"payload":"x"}]}"#, "team"; "team")]
#[test_case(r#"{"team":"a","kind":"","tasks":[{"payload":"x"}]}"#, "kind"; "kind")]
#[test_case(r#"{"team":"a","kind":"b","tasks":[]}"#, "tasks"; "empty job")]
#[test_case(r#"{"team":"a","kind":"b","deadline_ms":0,"tasks":[{"payload":"x"}]}"#, "deadline_ms"; "zero deadline")]
#[test_case(r#"{"team":"a","kind":"b","tasks":[{"payload":"x"},{"payload":{"hex":"f"}}]}"#, "tasks[1].payload"; "half a byte")]
#[test_case(r#"{"team":"a","kind":"b","tasks":[{"payload":{"hex":"+f"}}]}"#, "tasks[0].payload"; "sign in a byte")]
fn error_for_an_invalid_value_names_the_field(body: &str, field: &str) {
    let request: JobRequest = serde_json::from_str(body).unwrap();
    assert_eq!(request.into_spec().unwrap_err().field, field);
}

#[test]
fn content_preserves_all_bytes() {
    let all: Vec<u8> = (0..=255).collect();
    for bytes in [all, b"text".to_vec(), Vec::new()] {
        let json = serde_json::to_string(&Content::from(bytes.clone())).unwrap();
        let content: Content = serde_json::from_str(&json).unwrap();
        assert_eq!(content.into_bytes(), Ok(bytes));
    }
}

fn failed(failure: Failure) -> CallerResponse {
    CallerResponse::Ended {
        outcome: Outcome::Failed { failure },
    }
}

fn not_run(refusal: Refusal) -> CallerResponse {
    CallerResponse::Ended {
        outcome: Outcome::NotRun {
            refusal,
            retry_after: Some(Duration::from_millis(1_200)),
        },
    }
}

#[test_case(CallerResponse::Ended { outcome: Outcome::Complete { results: vec![b"a".to_vec(), vec![0xff]] } }, 200; "complete")]
#[test_case(CallerResponse::Running { ended_count: 1, task_count: 2 }, 202; "running")]
#[test_case(CallerResponse::Unknown, 404; "unknown")]
#[test_case(CallerResponse::Invalid { message: "no kind 'x'".to_owned() }, 400; "invalid")]
#[test_case(failed(Failure::TaskFailed { index: 3 }), 502; "task failed")]
#[test_case(failed(Failure::DeadlineExceeded), 504; "deadline")]
#[test_case(failed(Failure::Cancelled), 410; "cancelled")]
#[test_case(failed(Failure::TaskLost { index: 0 }), 502; "task lost")]
#[test_case(failed(Failure::OwnerLost), 502; "owner lost")]
#[test_case(failed(Failure::KeyExpired), 410; "key expired")]
#[test_case(failed(Failure::AnswerExpired), 410; "answer expired")]
#[test_case(failed(Failure::KeyReused), 409; "key reused")]
#[test_case(failed(Failure::ShuttingDown), 502; "shutting down")]
#[test_case(not_run(Refusal::TokenNeeded), 428; "token needed")]
#[test_case(not_run(Refusal::Overloaded), 429; "overloaded")]
#[test_case(not_run(Refusal::Impossible), 422; "impossible")]
#[test_case(not_run(Refusal::NoMinion), 503; "no minion")]
#[test_case(not_run(Refusal::DeadlineExceeded), 503; "deadline before the start")]
#[test_case(not_run(Refusal::Cancelled), 410; "cancelled before the start")]
#[test_case(not_run(Refusal::OwnerLost), 503; "owner lost before the start")]
#[test_case(not_run(Refusal::ShuttingDown), 503; "stopping before the start")]
#[test_case(not_run(Refusal::NotReady), 503; "not ready")]
fn job_response_round_trips_and_has_its_http_status(response: CallerResponse, http_status: u16) {
    let body = JobResponse::new(&submit(), response.clone());
    assert_eq!(body.http_status(), http_status);
    let json = serde_json::to_string(&body).unwrap();
    let body: JobResponse = serde_json::from_str(&json).unwrap();
    assert_eq!(body.into_caller_response(), Ok(response));
}

#[test]
fn json_of_a_job_response_omits_unset_fields() {
    let body = JobResponse::new(&submit(), not_run(Refusal::Overloaded));
    assert_eq!(body.retry_after_seconds(), Some(2));
    assert_eq!(
        serde_json::to_string(&body).unwrap(),
        r#"{"outcome":"not-run","reason":"overloaded","message":"too much work is waiting; try again later","retry_after_ms":1200}"#
    );
}

#[test]
fn malformed_status_request_gets_unknown_instead_of_not_run() {
    let invalid = CallerResponse::Invalid {
        message: "m".to_owned(),
    };
    let json = serde_json::to_value(JobResponse::new(&status(), invalid)).unwrap();
    assert_eq!(json["outcome"], "unknown");
    assert_eq!(json["reason"], "invalid");
}

#[test_case(r#"{"outcome":"complete"}"#, ResponseError::Missing { field: "results" }; "results")]
#[test_case(r#"{"outcome":"failed"}"#, ResponseError::Missing { field: "reason" }; "reason")]
#[test_case(r#"{"outcome":"running","ended_count":1}"#, ResponseError::Missing { field: "task_count" }; "count")]
fn response_without_a_required_field_is_rejected(json: &str, error: ResponseError) {
    let body: JobResponse = serde_json::from_str(json).unwrap();
    assert_eq!(body.into_caller_response(), Err(error));
}

#[test]
fn reason_of_another_outcome_is_rejected() {
    let json = r#"{"outcome":"not-run","reason":"task-lost"}"#;
    let body: JobResponse = serde_json::from_str(json).unwrap();
    assert!(matches!(
        body.into_caller_response(),
        Err(ResponseError::Reason { .. })
    ));
}

#[test]
fn owner_token_round_trips_as_text() {
    let json = serde_json::to_string(&OwnerResponse::new(TOKEN)).unwrap();
    assert_eq!(json, r#"{"owner":"0000000000000001-2-0000000000000003"}"#);
    let body: OwnerResponse = serde_json::from_str(&json).unwrap();
    assert_eq!(body.token(), Ok(TOKEN));
}

#[test]
fn event_round_trips() {
    let event = Event {
        at: HybridTime {
            wall_us: u64::MAX,
            logical_count: 1,
        },
        process: "entry-1".to_owned(),
        incarnation: u64::MAX,
        kind: EventKind::JobFailed {
            job: u128::MAX,
            failure: Failure::TaskLost { index: 1 },
        },
    };
    let json = serde_json::to_string(&event).unwrap();
    assert_eq!(serde_json::from_str::<Event>(&json).unwrap(), event);
}

#[test_case("embossing", 8, 100, "serving", true; "valid")]
#[test_case("Embossing", 8, 100, "serving", false; "service")]
#[test_case("embossing", 0, 100, "serving", false; "no slots")]
#[test_case("embossing", 8, 0, "serving", false; "no speed")]
#[test_case("embossing", 8, 100, "absent", false; "absent")]
fn minion_registration_is_validated(
    service: &str,
    slots: u32,
    speed: u32,
    state: &str,
    is_valid: bool,
) {
    let json = format!(
        r#"{{"service":"{service}","address":"127.0.0.1:9","slots":{slots},
            "speed_hint_percent":{speed},"state":"{state}"}}"#
    );
    let request: MinionRequest = serde_json::from_str(&json).unwrap();
    assert_eq!(request.validate().is_ok(), is_valid);
}
