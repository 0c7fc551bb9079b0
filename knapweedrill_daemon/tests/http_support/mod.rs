//! A server to test, and raw clients that behave as a well-made client does not.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill_daemon::http::{HttpLimits, HttpReply, HttpRequest, HttpServer};
use knapweedrill_daemon::telemetry::Metrics;

/// The time within which a client must be served while others misbehave.
pub(crate) const PROMPT: Duration = Duration::from_secs(1);

/// Starts a server on a free port of the loopback interface.
pub(crate) fn serve(
    limits: HttpLimits,
    handler: impl Fn(HttpRequest) + Send + Sync + 'static,
) -> HttpServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    HttpServer::start(listener, limits, Arc::new(Metrics::new()), handler).unwrap()
}

/// Starts a server that answers every request with its body.
pub(crate) fn serve_echo(limits: HttpLimits) -> HttpServer {
    serve(limits, |request| {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        request.responder.respond(HttpReply::text(200, text));
    })
}

/// Opens a connection that fails a test rather than waiting for ever.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream
}

/// Opens a connection and sends a text.
pub(crate) fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads until the server closes the connection.
pub(crate) fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the answer is as good as a close.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a text and returns all that the server answers before it closes.
pub(crate) fn exchange(address: SocketAddr, text: &str) -> String {
    read_all(send(address, text))
}

/// Makes a well-formed request.
pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"),
    )
}

/// Sends a well-formed request with a body.
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

/// Checks that a client with a body larger than the library buffers is served promptly.
pub(crate) fn assert_served_promptly(address: SocketAddr) {
    let begin = Instant::now();
    let answer = post(address, &"x".repeat(2_000));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(begin.elapsed() < PROMPT, "took {:?}", begin.elapsed());
}

/// Checks that an answer says that nothing was run.
pub(crate) fn assert_not_run(answer: &str, status: u16) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(r#""outcome":"not-run""#), "{answer}");
    assert!(answer.contains("Content-Length: "), "{answer}");
}
