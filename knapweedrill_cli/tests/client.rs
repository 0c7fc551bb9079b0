//! The client repeats token and key until it has an answer, and takes a new token only when
//! nothing ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use knapweedrill::api::{JobOutcome, OWNER_HEADER, Parent, Reason};
use knapweedrill::job::{JobSpec, TaskSpec};
use knapweedrill_cli::client::{Client, ClientBuilder, ClientError, Submission};
use test_case::test_case;
use tiny_http::{Method, Response, Server};

const TOKENS: [&str; 3] = [
    "0000000000000001-0-0000000000000001",
    "0000000000000002-0-0000000000000002",
    "0000000000000003-0-0000000000000003",
];

const COMPLETE: Reply = Reply::Answer(200, r#"{"outcome":"complete","results":["r"]}"#);

/// What the fake entry does with a submission.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
}

/// A submission as the fake entry got it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    url: String,
    token: String,
}

/// An entry that replies as told, in turn, and hands out a new token each time.
struct FakeEntry {
    address: SocketAddr,
    server: Arc<Server>,
    seen: Arc<Mutex<Vec<Seen>>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeEntry {
    fn start(replies: &[Reply]) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (served, log) = (Arc::clone(&server), Arc::clone(&seen));
        let replies = replies.to_vec();
        let mut tokens = TOKENS.iter();
        let thread = thread::spawn(move || {
            let mut replies = replies.into_iter();
            for request in served.incoming_requests() {
                if *request.method() == Method::Get && request.url() == "/v1/owner" {
                    let token = tokens.next().unwrap();
                    let body = format!(r#"{{"owner":"{token}"}}"#);
                    request.respond(Response::from_string(body)).unwrap();
                    continue;
                }
                let token = request
                    .headers()
                    .iter()
                    .find(|h| h.field.equiv(OWNER_HEADER));
                log.lock().unwrap().push(Seen {
                    url: request.url().to_owned(),
                    token: token.map(|h| h.value.to_string()).unwrap_or_default(),
                });
                match replies.next().unwrap_or(Reply::Close) {
                    Reply::Answer(status, body) => {
                        let response = Response::from_string(body).with_status_code(status);
                        request.respond(response).unwrap();
                    }
                    Reply::Close => drop(request.into_writer()),
                }
            }
        });
        Self {
            address: server.server_addr().to_ip().unwrap(),
            server,
            seen,
            thread: Some(thread),
        }
    }

    fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    fn tokens(&self) -> Vec<String> {
        self.seen().into_iter().map(|seen| seen.token).collect()
    }
}

impl Drop for FakeEntry {
    fn drop(&mut self) {
        self.server.unblock();
        self.thread.take().unwrap().join().unwrap();
    }
}

fn client(entries: &[SocketAddr]) -> Client {
    ClientBuilder::new(entries.iter().copied())
        .backoff(Duration::from_millis(1))
        .connect_timeout(Duration::from_millis(500))
        .answer_margin(Duration::from_millis(500))
        .attempt_count_max(4)
        .seed(1)
        .build()
        .unwrap()
}

fn submission() -> Submission {
    Submission {
        key: "key-1".to_owned(),
        token: None,
        spec: JobSpec {
            team: "tin-a".to_owned(),
            kind: "proof".to_owned(),
            class: None,
            deadline: None,
            idempotent: None,
            tasks: vec![TaskSpec {
                payload: b"p".to_vec(),
                hint: None,
            }],
        },
        wait: Duration::from_secs(5),
    }
}

#[test]
fn a_job_is_submitted_with_a_token_that_the_client_gets_itself() {
    let entry = FakeEntry::start(&[COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(report.token.to_string(), TOKENS[0]);
    let seen = Seen {
        url: "/v1/jobs/key-1".to_owned(),
        token: TOKENS[0].to_owned(),
    };
    assert_eq!(entry.seen(), [seen]);
}

#[test]
fn token_and_key_are_repeated_unchanged_through_another_entry() {
    let first = FakeEntry::start(&[Reply::Close]);
    let second = FakeEntry::start(&[COMPLETE]);
    let mut client = client(&[first.address, second.address]);
    let token = client.owner().unwrap();
    let again = Submission {
        token: Some(token),
        ..submission()
    };
    let report = client.submit(again).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    let (first, second) = (first.seen(), second.seen());
    let all: Vec<_> = first.iter().chain(&second).collect();
    assert!(all.len() >= 2, "{all:?}");
    assert!(all.iter().all(|seen| **seen == *all[0]), "{all:?}");
}

#[test]
fn an_entry_that_cannot_be_reached_is_passed_over() {
    let gone = FakeEntry::start(&[]).address;
    let entry = FakeEntry::start(&[COMPLETE]);
    let report = client(&[gone, entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
}

#[test_case("token-needed"; "token needed")]
#[test_case("overloaded"; "overloaded")]
#[test_case("owner-lost"; "owner lost")]
#[test_case("shutting-down"; "shutting down")]
fn a_refusal_is_followed_by_a_new_token(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"not-run","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(503, body), COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), TOKENS[..2]);
}

#[test]
fn a_refusal_after_a_lost_answer_is_followed_by_the_same_token() {
    let not_ready = Reply::Answer(503, r#"{"outcome":"not-run","reason":"not-ready"}"#);
    let entry = FakeEntry::start(&[Reply::Answer(502, "bad gateway"), not_ready, COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), [TOKENS[0]; 3]);
}

#[test_case("shutting-down"; "shutting down")]
#[test_case("overloaded"; "overloaded")]
fn a_submission_whose_outcome_is_unknown_is_repeated_under_the_same_token(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"unknown","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(500, body), COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), [TOKENS[0]; 2]);
}

#[test]
fn a_status_that_an_entry_cannot_tell_is_asked_again() {
    let stopping = Reply::Answer(500, r#"{"outcome":"unknown","reason":"shutting-down"}"#);
    let entry = FakeEntry::start(&[stopping, COMPLETE]);
    let token = TOKENS[0].parse().unwrap();
    let answer = client(&[entry.address]).status(token, "tin-a", "key-1", Duration::ZERO);
    assert_eq!(answer.unwrap().outcome, JobOutcome::Complete);
    assert_eq!(entry.seen().len(), 2);
}

#[test]
fn a_failed_job_is_not_submitted_again() {
    let failed = r#"{"outcome":"failed","reason":"task-lost","task_index":0}"#;
    let entry = FakeEntry::start(&[Reply::Answer(502, failed)]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.reason, Some(Reason::TaskLost));
    assert_eq!(entry.seen().len(), 1);
}

#[test_case("invalid"; "invalid")]
#[test_case("impossible"; "impossible")]
#[test_case("cancelled"; "cancelled")]
fn a_refusal_for_good_ends_the_submission(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"not-run","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(400, body)]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::NotRun);
    assert_eq!(entry.seen().len(), 1);
}

#[test]
fn the_pause_that_an_entry_asks_for_is_kept() {
    let busy = r#"{"outcome":"not-run","reason":"overloaded","retry_after_ms":300}"#;
    let entry = FakeEntry::start(&[Reply::Answer(429, busy), COMPLETE]);
    let start = Instant::now();
    client(&[entry.address]).submit(submission()).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(300));
}

#[test]
fn a_running_job_is_waited_for_under_the_same_token() {
    let running = r#"{"outcome":"running","ended_count":1,"task_count":2}"#;
    let entry = FakeEntry::start(&[Reply::Answer(202, running), COMPLETE]);
    let mut seen = Vec::new();
    let report = client(&[entry.address])
        .submit_with_progress(submission(), |answer| seen.push(answer.ended_count))
        .unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(seen, [Some(1)]);
    assert_eq!(entry.tokens(), [TOKENS[0]; 2]);
}

#[test]
fn an_outcome_that_nobody_tells_is_unknown() {
    let entry = FakeEntry::start(&[]);
    let error = client(&[entry.address]).submit(submission()).unwrap_err();
    let ClientError::OutcomeUnknown { token, key, .. } = error else {
        panic!("{error}");
    };
    assert_eq!((token.as_str(), key.as_str()), (TOKENS[0], "key-1"));
    assert!(entry.tokens().iter().all(|seen| *seen == token));
}

#[test]
fn a_configuration_is_sent_once() {
    let entry = FakeEntry::start(&[]);
    let result = client(&[entry.address]).apply("x", Parent::Version(7), Duration::ZERO);
    assert!(result.is_err());
    assert_eq!(entry.seen()[0].url, "/v1/configuration?parent=7&wait_ms=0");
    assert_eq!(entry.seen().len(), 1);
}

#[test]
fn a_client_without_entries_is_refused() {
    assert!(matches!(
        ClientBuilder::new([]).build(),
        Err(ClientError::NoEntry)
    ));
}
