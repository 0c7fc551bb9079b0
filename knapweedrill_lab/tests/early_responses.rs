//! Responses to requests whose body a process doesn't read to its end, at real entry and sidecar processes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use knapweedrill_lab::harness::{HOST, PlatformSite, wait_until};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// The path of a submission.
const JOB_PATH: &str = "/normal/0000000000000001";

/// How often each client sends its request. Whether a response is lost depends on the moment at which the
/// process closes the connection.
const REPEAT_COUNT: usize = 40;

/// A body beyond the limit of the site, of 65,536 bytes. It doesn't fit into what the kernel takes at once.
const LARGE_BODY_BYTES: usize = 400_000;

/// A body within the limit of the site.
const LEGAL_BODY_BYTES: usize = 60_000;

/// How a client sends its body.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// With the header.
    AtOnce,
    /// In four pieces, after the process has seen the header.
    InPieces,
    /// In pieces, for longer than a body may take.
    Slowly,
}

/// Why a request is not read to its end.
#[derive(Debug, Clone, Copy)]
enum Refusal {
    /// The header declares a body that is too large.
    DeclaredSize,
    /// The body, of unknown length, grows too large.
    ReceivedSize,
    /// The head is not HTTP.
    Syntax,
}

/// The text of a request.
struct Request {
    head: String,
    body: String,
}

/// Returns a request.
fn request(path: &str, refusal: Refusal, body_bytes: usize) -> Request {
    let content = "x".repeat(body_bytes);
    let (line, body) = match refusal {
        Refusal::DeclaredSize => (format!("Content-Length: {body_bytes}"), content),
        Refusal::ReceivedSize => {
            let chunks = format!("{body_bytes:x}\r\n{content}\r\n0\r\n\r\n");
            ("Transfer-Encoding: chunked".to_owned(), chunks)
        }
        Refusal::Syntax => ("no header".to_owned(), content),
    };
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{line}\r\n\r\n");
    Request { head, body }
}

/// Sends a request whose body comes in `count` pieces, with a pause before each.
fn send_pieces(
    stream: &mut TcpStream,
    request: &Request,
    count: usize,
    pause: Duration,
) -> std::io::Result<()> {
    stream.write_all(request.head.as_bytes())?;
    let body = request.body.as_bytes();
    for piece in body.chunks(body.len() / count) {
        thread::sleep(pause);
        stream.write_all(piece)?;
    }
    Ok(())
}

/// Sends a request to its end, and only then reads the response, as simple clients do. Returns the status.
fn send(address: SocketAddr, request: &Request, sending: Sending) -> Result<u16, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(address).map_err(text)?;
    stream.set_read_timeout(Some(3 * SECOND)).map_err(text)?;
    stream.set_write_timeout(Some(3 * SECOND)).map_err(text)?;
    match sending {
        Sending::AtOnce => {
            let whole = request.head.clone() + &request.body;
            stream.write_all(whole.as_bytes()).map_err(text)?;
        }
        Sending::InPieces => {
            let pause = Duration::from_millis(10);
            send_pieces(&mut stream, request, 4, pause).map_err(text)?;
        }
        Sending::Slowly => {
            let pause = Duration::from_millis(100);
            send_pieces(&mut stream, request, 60, pause).map_err(text)?;
        }
    }
    let mut line = String::new();
    let mut reader = BufReader::new(stream);
    reader.read_line(&mut line).map_err(text)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    status.ok_or_else(|| format!("no status: {line:?}"))
}

/// Sends a request repeatedly, and checks that each is answered.
fn check(address: SocketAddr, request: &Request, sending: Sending, status: u16) {
    let results: Vec<_> = (0..REPEAT_COUNT)
        .map(|_| send(address, request, sending))
        .collect();
    let lost: Vec<_> = results.iter().filter(|it| **it != Ok(status)).collect();
    assert!(lost.is_empty(), "{} lost: {:?}", lost.len(), lost[0]);
}

fn start_site() -> PlatformSite {
    let site = PlatformSite::start(1, 1).expect("the site starts");
    site.configure(3).expect("the entry becomes ready");
    site
}

/// Guards against a connection that is closed while its client still sends, which destroys the response.
#[test_case(Refusal::DeclaredSize, Sending::AtOnce, 413)]
#[test_case(Refusal::DeclaredSize, Sending::InPieces, 413)]
#[test_case(Refusal::ReceivedSize, Sending::AtOnce, 413)]
#[test_case(Refusal::ReceivedSize, Sending::InPieces, 413)]
#[test_case(Refusal::Syntax, Sending::AtOnce, 400)]
#[test_case(Refusal::Syntax, Sending::InPieces, 400)]
fn entry_answers_callers_whose_body_it_does_not_read(
    refusal: Refusal,
    sending: Sending,
    status: u16,
) {
    let site = start_site();
    let request = request(JOB_PATH, refusal, LARGE_BODY_BYTES);
    check(site.callers_address(0), &request, sending, status);
}

/// As above, with a request that could be served elsewhere.
#[test_case(Sending::AtOnce)]
#[test_case(Sending::InPieces)]
fn entry_without_configuration_answers_callers(sending: Sending) {
    let site = PlatformSite::start(1, 1).expect("the site starts");
    let address = site.callers_address(0);
    wait_until("an entry that accepts requests", 5 * SECOND, || {
        TcpStream::connect(address).is_ok()
    })
    .expect("the entry accepts requests");
    let request = request(JOB_PATH, Refusal::DeclaredSize, LEGAL_BODY_BYTES);
    check(address, &request, sending, 503);
}

/// As above, with a body that comes too slowly.
#[test]
fn entry_answers_callers_whose_body_takes_too_long() {
    let site = start_site();
    let request = request(JOB_PATH, Refusal::DeclaredSize, LEGAL_BODY_BYTES);
    let status = send(site.callers_address(0), &request, Sending::Slowly);
    assert_eq!(status, Ok(408));
}

/// As above, at the other ports.
#[test_case(|site| site.registration_address(0), "/v1/instances/i-1", 413; "heartbeat port")]
#[test_case(|site| site.readiness_address(0), "/unknown", 404; "readiness port")]
#[test_case(|site| SocketAddr::new(site.callers_address(0).ip(), 9_464), "/unknown", 404; "metrics port")]
fn other_ports_answer_clients_whose_body_they_do_not_read(
    address: fn(&PlatformSite) -> SocketAddr,
    path: &str,
    status: u16,
) {
    let site = start_site();
    let request = request(path, Refusal::DeclaredSize, LARGE_BODY_BYTES);
    for sending in [Sending::AtOnce, Sending::InPieces] {
        check(address(&site), &request, sending, status);
    }
}

/// The most that a client may send after its response until it is disconnected, with what the kernel of
/// either side holds, in bytes.
const SENT_BYTES_MAX: usize = 16 << 20;

/// Sends bytes again and again, `pause` apart, and returns how many were sent until the connection was
/// closed; at most `SENT_BYTES_MAX` within 8 s.
fn sent_until_closed(address: SocketAddr, piece: &[u8], pause: Duration) -> usize {
    let head = request(JOB_PATH, Refusal::DeclaredSize, LARGE_BODY_BYTES).head;
    let mut stream = TcpStream::connect(address).expect("the process listens");
    stream
        .set_write_timeout(Some(SECOND))
        .expect("the timeout can be set");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let mut sent_bytes = 0;
    wait_until("a closed connection", 8 * SECOND, || {
        thread::sleep(pause);
        let is_closed = stream.write_all(piece).is_err();
        sent_bytes += piece.len();
        is_closed || sent_bytes > SENT_BYTES_MAX
    })
    .expect("the connection is closed");
    sent_bytes
}

/// Guards against a connection that is kept open for ever after its last response.
#[test]
fn client_that_trickles_after_its_response_is_disconnected() {
    let site = start_site();
    sent_until_closed(site.callers_address(0), b"x", Duration::from_millis(100));
}

/// Guards against a process that is kept busy with bytes that nobody needs.
#[test]
fn client_that_floods_after_its_response_is_disconnected() {
    let site = start_site();
    let piece = vec![b'x'; 1 << 16];
    let sent_bytes = sent_until_closed(site.callers_address(0), &piece, Duration::ZERO);
    assert!(
        sent_bytes <= SENT_BYTES_MAX,
        "{sent_bytes} bytes were taken"
    );
}
