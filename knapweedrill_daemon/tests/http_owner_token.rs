//! Rejected requests with an owner token: the outcome of the job is reported as unknown, since an
//! earlier attempt of the request may have run.

mod http_support;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use http_support::{exchange, send, serve, serve_echo};
use knapweedrill_daemon::http::{HttpLimits, HttpResponse};
use test_case::test_case;

const TOKEN: &str = "Knapweedrill-Owner: 0000000000000001-0-0000000000000001\r\n";

fn with_token(head: &str) -> String {
    format!("POST /v1/jobs/k HTTP/1.1\r\nHost: t\r\nConnection: close\r\n{TOKEN}{head}\r\n")
}

fn assert_unknown(answer: &str, status: u16) {
    let start = format!("HTTP/1.1 {status}");
    assert!(answer.starts_with(&start), "{answer}");
    assert!(answer.contains(r#""outcome":"unknown""#), "{answer}");
    assert!(answer.contains("same token and key"), "{answer}");
    assert!(answer.contains("Content-Length: "), "{answer}");
}

#[test]
fn stopping_server_reports_an_unknown_outcome() {
    let (responders, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        responders.send(request.responder).unwrap();
    });
    let address = server.address();
    let _stream = send(address, &with_token(""));
    let responder = received.recv().unwrap();
    let stopping = thread::spawn(move || server.stop(Duration::from_secs(10)));
    thread::sleep(Duration::from_millis(100));

    let answer = exchange(address, &with_token(""));

    assert_unknown(&answer, 500);
    assert!(answer.contains("Retry-After: 1\r\n"), "{answer}");
    responder.respond(HttpResponse::text(200, "whole"));
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn overloaded_server_reports_an_unknown_outcome() {
    let limits = HttpLimits::builder().request_count(1).build();
    let (responders, received) = channel();
    let server = serve(limits, move |request| {
        responders.send(request.responder).unwrap();
    });
    let _stream = send(server.address(), &with_token(""));
    let responder = received.recv().unwrap();

    assert_unknown(&exchange(server.address(), &with_token("")), 500);
    responder.respond(HttpResponse::text(200, "whole"));
}

#[test_case("Content-Length: 99999\r\n", 413; "body too large")]
#[test_case("Content-Length: 5000\r\n", 408; "body that does not arrive")]
#[test_case("Content-Length: -1\r\n", 400; "malformed length")]
#[test_case(TOKEN, 400; "two tokens")]
fn invalid_request_reports_an_unknown_outcome(head: &str, status: u16) {
    let limits = HttpLimits::builder()
        .body_bytes(10_000)
        .body_timeout(Duration::from_secs(1))
        .idle_timeout(Duration::from_millis(1_500))
        .build();
    let server = serve_echo(limits);

    assert_unknown(&exchange(server.address(), &with_token(head)), status);
}

#[test]
fn dropped_responder_reports_an_unknown_outcome() {
    let server = serve(HttpLimits::default(), |request| drop(request.responder));

    assert_unknown(&exchange(server.address(), &with_token("")), 500);
}
