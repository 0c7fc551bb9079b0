//! Requests reach the handler completely, and each gets exactly one complete response.

mod http_support;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use http_support::{assert_not_run, exchange, get, post, read_all, send, serve, serve_echo};
use knapweedrill::api::Method;
use knapweedrill_daemon::http::{HttpLimits, HttpResponse};
use test_case::test_case;

#[test]
fn handler_receives_all_parts_of_a_request() {
    let (requests, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        requests
            .send((
                request.method,
                request.url.clone(),
                request.owner.clone(),
                request.body.clone(),
            ))
            .unwrap();
        request.responder.respond(HttpResponse::text(200, "done"));
    });
    let answer = exchange(
        server.address(),
        "DELETE /v1/a%2Fb?key=x%20y&flag HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
         knapweedrill-owner: ab-1-2\r\nContent-Length: 4\r\n\r\nbody",
    );
    assert!(answer.ends_with("\r\n\r\ndone"), "{answer}");
    let (method, url, owner, body) = received.recv().unwrap();
    assert_eq!(method, Method::Delete);
    assert_eq!(url, "/v1/a%2Fb?key=x%20y&flag");
    assert_eq!(owner.as_deref(), Some("ab-1-2"));
    assert_eq!(body, b"body");
}

#[test]
fn large_body_is_echoed_whole() {
    let server = serve_echo(HttpLimits::default());
    let body = "0123456789".repeat(100_000);
    let answer = post(server.address(), &body);
    assert!(answer.ends_with(&body));
}

#[test]
fn answer_may_come_from_another_thread_and_later() {
    let server = serve(HttpLimits::default(), |request| {
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(100));
            let response = HttpResponse::json(202, &["late"]).with_header("X-Test", "1");
            request.responder.respond(response);
        });
    });
    let answer = get(server.address(), "/");
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    assert!(answer.contains("X-Test: 1\r\n"), "{answer}");
    assert!(answer.ends_with(r#"["late"]"#), "{answer}");
}

#[test]
fn answer_slower_than_the_idle_timeout_arrives() {
    let limits = HttpLimits::builder()
        .idle_timeout(Duration::from_millis(1_500))
        .build();
    let server = serve(limits, |request| {
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(4));
            request.responder.respond(HttpResponse::text(200, "waited"));
        });
    });
    let stream = send(server.address(), "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
    assert!(read_all(stream).ends_with("waited"));
}

#[test]
fn dropped_responder_returns_500() {
    let server = serve(HttpLimits::default(), drop);
    assert!(get(server.address(), "/").starts_with("HTTP/1.1 500"));
}

#[test]
fn handler_panic_returns_500_and_does_not_affect_other_requests() {
    let server = serve(HttpLimits::default(), |request| {
        assert!(request.url != "/panic", "the test asks for a panic");
        request.responder.respond(HttpResponse::text(200, "fine"));
    });
    assert!(get(server.address(), "/panic").starts_with("HTTP/1.1 500"));
    assert!(get(server.address(), "/").starts_with("HTTP/1.1 200"));
}

#[test]
fn health_check_does_not_call_the_handler() {
    let server = serve(HttpLimits::default(), |_| {
        panic!("the handler must not be called")
    });
    assert!(get(server.address(), "/healthz").starts_with("HTTP/1.1 200"));
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (firsts, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        if request.url == "/first" {
            firsts.send(request.responder).unwrap();
        } else {
            request.responder.respond(HttpResponse::text(200, "second"));
        }
    });
    let stream = send(
        server.address(),
        "GET /first HTTP/1.1\r\nHost: t\r\n\r\n\
         GET /second HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
    );
    thread::sleep(Duration::from_millis(200));
    received
        .recv()
        .unwrap()
        .respond(HttpResponse::text(200, "first"));
    let answer = read_all(stream);
    assert!(answer.find("first") < answer.find("second"), "{answer}");
    assert!(answer.ends_with("second"), "{answer}");
}

#[test_case("PATCH / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n", 405; "unknown method")]
#[test_case("GET x HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n", 400; "path without slash")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: -1\r\nConnection: close\r\n\r\n", 400; "negative length")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n", 400; "two lengths")]
fn invalid_request_is_reported_as_not_run(request: &str, status: u16) {
    let server = serve(HttpLimits::default(), |_| {
        panic!("the handler must not be called")
    });
    assert_not_run(&exchange(server.address(), request), status);
}

#[test_case("\r\n\r\n"; "empty lines")]
#[test_case("GET\r\n\r\n"; "no path")]
#[test_case("GET / HTTP/9.9\r\n\r\n"; "unknown version")]
#[test_case("GET / HTTP/1.1\r\nno colon\r\n\r\n"; "header without a colon")]
#[test_case("\u{1}\u{2}\u{fffd}\r\n\r\n"; "not text")]
fn malformed_request_never_reaches_the_handler(request: &str) {
    let server = serve(HttpLimits::default(), |_| {
        panic!("the handler must not be called")
    });
    let answer = exchange(server.address(), request);
    assert!(!answer.contains("HTTP/1.1 200"), "{answer}");
    assert!(get(server.address(), "/healthz").starts_with("HTTP/1.1 200"));
}

#[test]
fn stop_completes_requests_in_flight_and_rejects_new_ones() {
    let (responders, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        responders.send(request.responder).unwrap();
    });
    let address = server.address();
    let stream = send(
        address,
        "GET / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
    );
    let responder = received.recv().unwrap();
    let stopping = thread::spawn(move || server.stop(Duration::from_secs(10)));
    thread::sleep(Duration::from_millis(100));
    let rejected = get(address, "/");
    assert_not_run(&rejected, 503);
    assert!(rejected.contains("Retry-After: 1\r\n"), "{rejected}");
    responder.respond(HttpResponse::text(200, "whole"));
    assert!(read_all(stream).ends_with("whole"));
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn stopping_server_reports_an_unknown_outcome_for_a_job_with_an_owner_token() {
    let (responders, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        responders.send(request.responder).unwrap();
    });
    let address = server.address();
    let _stream = send(address, "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
    let responder = received.recv().unwrap();
    let stopping = thread::spawn(move || server.stop(Duration::from_secs(10)));
    thread::sleep(Duration::from_millis(100));
    let rejected = exchange(
        address,
        "POST /v1/jobs/key HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
         Knapweedrill-Owner: 0000000000000001-0-0000000000000002\r\nContent-Length: 0\r\n\r\n",
    );
    assert!(rejected.starts_with("HTTP/1.1 500"), "{rejected}");
    assert!(rejected.contains("Retry-After: 1\r\n"), "{rejected}");
    assert!(
        rejected.contains(r#""outcome":"unknown","reason":"shutting-down""#),
        "{rejected}"
    );
    responder.respond(HttpResponse::text(200, "whole"));
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn stop_returns_the_number_of_unfinished_requests() {
    let (responders, received) = channel();
    let server = serve(HttpLimits::default(), move |request| {
        responders.send(request.responder).unwrap();
    });
    let _stream = send(server.address(), "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
    let _responder = received.recv().unwrap();
    assert_eq!(server.stop(Duration::from_millis(50)), 1);
}
