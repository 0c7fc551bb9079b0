//! Tests of the records that the checker's client makes of submissions.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use knapweedrill::contract::OwnerToken;
use knapweedrill_lab::checker::{CallerAnswer, RecordingClient, Submission};
use knapweedrill_lab::harness::{EntryApi, JobOutcome, JobRequest};
use knapweedrill_lab::stand_in::HttpServer;
use knapweedrill_lab::stand_in::minion::TaskPayload;
use test_case::test_case;
use tiny_http::{Request, Response};

fn token() -> OwnerToken {
    OwnerToken {
        incarnation: 7,
        generation: 0,
        roster: 9,
    }
}

/// Submits a job of one task to a fake entry that responds with `body`.
///
/// If `body` is empty, the connection breaks in the middle of the response.
fn submit(body: &'static str) -> Submission {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    let entry = HttpServer::start(any_port, 1, move |request| respond(request, body))
        .expect("loopback has a free port");
    let payload = TaskPayload::new(Duration::from_millis(5), "lid");
    let job = JobRequest::new("tin-a", "proof").task(&payload);
    RecordingClient::new("entry-0", EntryApi::new(entry.address()))
        .idempotent(false)
        .submit(token(), "key-1", &job)
}

fn respond(mut request: Request, body: &'static str) {
    let sent: serde_json::Value =
        serde_json::from_reader(request.as_reader()).expect("a submission is JSON");
    assert_eq!(request.url(), "/v1/jobs/key-1");
    assert_eq!(sent["team"], "tin-a");
    assert_eq!(sent["kind"], "proof");
    assert_eq!(sent["wait_ms"], 30_000);
    assert_eq!(sent["tasks"][0]["hint_ms"], 5);
    assert!(sent.get("class").is_none());
    let has_owner = request.headers().iter().any(|header| {
        header.field.equiv("Knapweedrill-Owner") && header.value.as_str() == token().to_string()
    });
    assert!(has_owner);
    if body.is_empty() {
        // Sends fewer bytes than the header announces and closes the connection.
        let mut writer = request.into_writer();
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
            .expect("the caller waits for the answer");
        return;
    }
    request
        .respond(Response::from_string(body))
        .expect("the caller waits for the answer");
}

#[test_case(r#"{"outcome":"complete","results":["lid"]}"#, JobOutcome::Complete; "complete")]
#[test_case(r#"{"outcome":"failed","reason":"task-lost"}"#, JobOutcome::Failed; "failed")]
#[test_case(
    r#"{"outcome":"not-run","reason":"overloaded","retry_after_ms":20}"#,
    JobOutcome::NotRun;
    "not run"
)]
#[test_case(r#"{"outcome":"running"}"#, JobOutcome::Running; "running")]
fn a_well_formed_answer_is_recorded_with_its_outcome(body: &'static str, expected: JobOutcome) {
    let submission = submit(body);
    assert_eq!(submission.answer.outcome(), Some(expected));
    assert_eq!(submission.echoes, ["lid"]);
    assert!(!submission.is_idempotent);
    assert!(submission.answered_us >= submission.submitted_us);
}

#[test]
fn a_truncated_json_body_is_recorded_as_malformed() {
    let submission = submit("{\"outcome\":\"comp");
    let expected = CallerAnswer::Malformed("{\"outcome\":\"comp".into());
    assert_eq!(submission.answer, expected);
}

#[test]
fn a_broken_connection_is_recorded_as_unanswered() {
    assert_eq!(submit("").answer, CallerAnswer::Unanswered);
}
