//! Test server, and raw TCP clients that can send malformed or incomplete requests.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill_daemon::http::{HttpLimits, HttpRequest, HttpResponse, HttpServer};
use knapweedrill_daemon::telemetry::Metrics;

/// Limit of the response time of a client while others misbehave.
pub(crate) const PROMPT_MAX: Duration = Duration::from_secs(1);

/// Starts a server on a free port of the loopback interface.
pub(crate) fn serve(
    limits: HttpLimits,
    handler: impl Fn(HttpRequest) + Send + Sync + 'static,
) -> HttpServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    HttpServer::start(listener, limits, Arc::new(Metrics::new()), handler).unwrap()
}

/// Starts a server that responds to each request with its body.
pub(crate) fn serve_echo(limits: HttpLimits) -> HttpServer {
    serve(limits, |request| {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        request.responder.respond(HttpResponse::text(200, text));
    })
}

/// Opens a connection with a read timeout, so that a test fails instead of blocking forever.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream
}

/// Opens a connection and sends `text`.
pub(crate) fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads until the server closes the connection.
pub(crate) fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response counts as a close.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends `text` and returns all bytes received until the server closes the connection.
pub(crate) fn exchange(address: SocketAddr, text: &str) -> String {
    read_all(send(address, text))
}

/// Sends a well-formed GET request.
pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"),
    )
}

/// Sends a well-formed POST request.
pub(crate) fn post(address: SocketAddr, body: &str) -> String {
    let length = body.len();
    exchange(
        address,
        &format!(
            "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        ),
    )
}

/// Checks that a request with a body larger than the buffer of the HTTP library gets a prompt
/// response.
pub(crate) fn assert_served_promptly(address: SocketAddr) {
    let begin = Instant::now();
    let answer = post(address, &"x".repeat(2_000));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(begin.elapsed() < PROMPT_MAX, "took {:?}", begin.elapsed());
}

/// Checks that a response has the outcome `not-run`.
pub(crate) fn assert_not_run(answer: &str, status: u16) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(r#""outcome":"not-run""#), "{answer}");
    assert!(answer.contains("Content-Length: "), "{answer}");
}
