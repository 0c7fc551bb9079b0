//! Retries of the client: it sends the same token and key until it gets an answer, and takes a new
//! token only if nothing of the job ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use knapweedrill::api::{ExpectedParent, JobOutcome, OWNER_HEADER, Reason};
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

/// How the fake entry responds to a submission.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
}

/// A request that the fake entry received.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReceivedRequest {
    url: String,
    token: String,
}

/// An entry that sends the given replies in order and issues a new token on each request for one.
struct FakeEntry {
    address: SocketAddr,
    server: Arc<Server>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeEntry {
    fn start(replies: &[Reply]) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let (thread_server, thread_received) = (Arc::clone(&server), Arc::clone(&received));
        let replies = replies.to_vec();
        let mut tokens = TOKENS.iter();
        let thread = thread::spawn(move || {
            let mut replies = replies.into_iter();
            for request in thread_server.incoming_requests() {
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
                thread_received.lock().unwrap().push(ReceivedRequest {
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
            received,
            thread: Some(thread),
        }
    }

    fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    fn tokens(&self) -> Vec<String> {
        self.received()
            .into_iter()
            .map(|request| request.token)
            .collect()
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
        .response_timeout_margin(Duration::from_millis(500))
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
fn client_obtains_the_token_of_a_submission_without_one() {
    let entry = FakeEntry::start(&[COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(report.token.to_string(), TOKENS[0]);
    let expected = ReceivedRequest {
        url: "/v1/jobs/key-1".to_owned(),
        token: TOKENS[0].to_owned(),
    };
    assert_eq!(entry.received(), [expected]);
}

#[test]
fn retry_through_another_entry_keeps_token_and_key() {
    let first = FakeEntry::start(&[Reply::Close]);
    let second = FakeEntry::start(&[COMPLETE]);
    let mut client = client(&[first.address, second.address]);
    let token = client.owner().unwrap();
    let submission = Submission {
        token: Some(token),
        ..submission()
    };
    let report = client.submit(submission).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    let (first, second) = (first.received(), second.received());
    let all: Vec<_> = first.iter().chain(&second).collect();
    assert!(all.len() >= 2, "{all:?}");
    assert!(all.iter().all(|request| **request == *all[0]), "{all:?}");
}

#[test]
fn unreachable_entry_is_skipped() {
    let unreachable = FakeEntry::start(&[]).address;
    let entry = FakeEntry::start(&[COMPLETE]);
    let report = client(&[unreachable, entry.address])
        .submit(submission())
        .unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
}

#[test_case("token-needed"; "token needed")]
#[test_case("overloaded"; "overloaded")]
#[test_case("owner-lost"; "owner lost")]
#[test_case("shutting-down"; "shutting down")]
fn retry_after_a_refusal_uses_a_new_token(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"not-run","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(503, body), COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), TOKENS[..2]);
}

#[test]
fn refusal_after_a_lost_answer_keeps_the_token() {
    let not_ready = Reply::Answer(503, r#"{"outcome":"not-run","reason":"not-ready"}"#);
    let entry = FakeEntry::start(&[Reply::Answer(502, "bad gateway"), not_ready, COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), [TOKENS[0]; 3]);
}

#[test_case("shutting-down"; "shutting down")]
#[test_case("overloaded"; "overloaded")]
fn retry_after_an_unknown_outcome_keeps_the_token(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"unknown","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(500, body), COMPLETE]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(entry.tokens(), [TOKENS[0]; 2]);
}

#[test]
fn status_query_with_unknown_outcome_is_retried() {
    let stopping = Reply::Answer(500, r#"{"outcome":"unknown","reason":"shutting-down"}"#);
    let entry = FakeEntry::start(&[stopping, COMPLETE]);
    let token = TOKENS[0].parse().unwrap();
    let answer = client(&[entry.address]).status(token, "tin-a", "key-1", Duration::ZERO);
    assert_eq!(answer.unwrap().outcome, JobOutcome::Complete);
    assert_eq!(entry.received().len(), 2);
}

#[test]
fn failed_job_is_not_resubmitted() {
    let failed = r#"{"outcome":"failed","reason":"task-lost","task_index":0}"#;
    let entry = FakeEntry::start(&[Reply::Answer(502, failed)]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.reason, Some(Reason::TaskLost));
    assert_eq!(entry.received().len(), 1);
}

#[test_case("invalid"; "invalid")]
#[test_case("impossible"; "impossible")]
#[test_case("cancelled"; "cancelled")]
fn permanent_refusal_ends_the_submission(reason: &str) {
    let body: &'static str =
        Box::leak(format!(r#"{{"outcome":"not-run","reason":"{reason}"}}"#).into_boxed_str());
    let entry = FakeEntry::start(&[Reply::Answer(400, body)]);
    let report = client(&[entry.address]).submit(submission()).unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::NotRun);
    assert_eq!(entry.received().len(), 1);
}

#[test]
fn retry_waits_for_the_requested_delay() {
    let overloaded = r#"{"outcome":"not-run","reason":"overloaded","retry_after_ms":300}"#;
    let entry = FakeEntry::start(&[Reply::Answer(429, overloaded), COMPLETE]);
    let start = Instant::now();
    client(&[entry.address]).submit(submission()).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(300));
}

#[test]
fn running_job_is_polled_with_the_same_token() {
    let running = r#"{"outcome":"running","ended_count":1,"task_count":2}"#;
    let entry = FakeEntry::start(&[Reply::Answer(202, running), COMPLETE]);
    let mut ended_counts = Vec::new();
    let report = client(&[entry.address])
        .submit_with_progress(submission(), |answer| ended_counts.push(answer.ended_count))
        .unwrap();
    assert_eq!(report.answer.outcome, JobOutcome::Complete);
    assert_eq!(ended_counts, [Some(1)]);
    assert_eq!(entry.tokens(), [TOKENS[0]; 2]);
}

#[test]
fn outcome_is_unknown_if_no_entry_answers() {
    let entry = FakeEntry::start(&[]);
    let error = client(&[entry.address]).submit(submission()).unwrap_err();
    let ClientError::OutcomeUnknown { token, key, .. } = error else {
        panic!("{error}");
    };
    assert_eq!((token.as_str(), key.as_str()), (TOKENS[0], "key-1"));
    assert!(entry.tokens().iter().all(|sent| *sent == token));
}

#[test]
fn configuration_is_sent_without_retries() {
    let entry = FakeEntry::start(&[]);
    let result = client(&[entry.address]).apply("x", ExpectedParent::Version(7), Duration::ZERO);
    assert!(result.is_err());
    assert_eq!(
        entry.received()[0].url,
        "/v1/configuration?parent=7&wait_ms=0"
    );
    assert_eq!(entry.received().len(), 1);
}

#[test]
fn builder_rejects_an_empty_list_of_entries() {
    assert!(matches!(
        ClientBuilder::new([]).build(),
        Err(ClientError::NoEntry)
    ));
}
