//! Malformed bodies: with a valid owner token the outcome is unknown, since an earlier attempt may
//! have run.

mod http_support;

use std::sync::Arc;

use http_support::{exchange, serve};
use knapweedrill::message::Role;
use knapweedrill_daemon::control::{ApiRouter, PublishedState};
use knapweedrill_daemon::http::{HttpLimits, HttpServer};
use knapweedrill_daemon::telemetry::Metrics;
use test_case::test_case;

const TOKEN: &str = "Knapweedrill-Owner: 0000000000000001-0-0000000000000001\r\n";

fn serve_entry() -> HttpServer {
    let published = Arc::new(PublishedState::new());
    let router = ApiRouter::new(Role::Entry, published, Arc::new(Metrics::new()));
    serve(HttpLimits::default(), move |request| {
        assert!(router.route(request).is_none(), "the body is malformed");
    })
}

fn submission(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/jobs/k HTTP/1.1\r\nHost: t\r\nConnection: close\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

fn assert_invalid(response: &str, outcome: &str) {
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    let outcome = format!(r#""outcome":"{outcome}""#);
    assert!(response.contains(&outcome), "{response}");
    assert!(response.contains(r#""reason":"invalid""#), "{response}");
}

#[test_case("{"; "truncated body")]
#[test_case("[]"; "body of another form")]
#[test_case(""; "no body")]
fn malformed_body_with_an_owner_token_has_an_unknown_outcome(body: &str) {
    let server = serve_entry();

    assert_invalid(
        &exchange(server.address(), &submission(TOKEN, body)),
        "unknown",
    );
}

#[test]
fn malformed_token_is_reported_as_not_run() {
    let server = serve_entry();
    let headers = "Knapweedrill-Owner: no-token\r\n";

    assert_invalid(
        &exchange(server.address(), &submission(headers, "{")),
        "not-run",
    );
}
