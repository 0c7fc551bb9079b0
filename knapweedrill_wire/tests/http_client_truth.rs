//! What the HTTP client says of a call is true, whatever the server and the connection do: a request
//! that the server may have received is never called unsent, and no call gets the response to another.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use knapweedrill_wire::{HttpCall, HttpClient, HttpError};
use socket2::SockRef;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const IDLE_MAX: Duration = Duration::from_secs(60);

/// The timeout of calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// What the server does with a request after it has read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Respond,
    /// Sends the response byte by byte.
    RespondSplit,
    /// Sends the response and another one that belongs to no request.
    RespondTwice,
    /// Sends the response after the call has timed out.
    RespondLate,
    /// Sends a part of the response and closes the connection.
    RespondInPart,
    /// Sends the response and closes the connection.
    RespondAndClose,
    /// Responds neither to this request nor to later ones on the connection.
    FallSilent,
    Close,
    Reset,
}

/// A server that takes its steps from a script, over all connections, and notes what it has read.
struct Server {
    script: Mutex<VecDeque<Step>>,
    received: Mutex<Vec<String>>,
}

impl Server {
    async fn start(script: &[Step]) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            script: Mutex::new(script.iter().copied().collect()),
            received: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        (server, address)
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) -> Option<()> {
        let mut is_silent = false;
        loop {
            let mut request = [0; 4_096];
            let length = stream.read(&mut request).await.ok().filter(|it| *it > 0)?;
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let path = text.split_whitespace().nth(1)?.to_owned();
            self.received.lock().unwrap().push(path.clone());
            if is_silent {
                continue;
            }
            let step = self.script.lock().unwrap().pop_front();
            let response = response_to(&path);
            match step.unwrap_or(Step::Respond) {
                Step::Respond => stream.write_all(&response).await.ok()?,
                Step::RespondSplit => {
                    for byte in response {
                        stream.write_all(&[byte]).await.ok()?;
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
                Step::RespondTwice => {
                    let twice = [response, response_to("/stray")].concat();
                    stream.write_all(&twice).await.ok()?;
                }
                Step::RespondLate => {
                    tokio::time::sleep(CALL_TIMEOUT * 2).await;
                    stream.write_all(&response).await.ok()?;
                }
                Step::RespondInPart => {
                    stream
                        .write_all(&response[..response.len() - 2])
                        .await
                        .ok()?;
                    return None;
                }
                Step::RespondAndClose => {
                    stream.write_all(&response).await.ok()?;
                    return None;
                }
                Step::FallSilent => is_silent = true,
                Step::Close => return None,
                Step::Reset => {
                    // The kernel resets a connection that is closed with no time to linger.
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .ok()?;
                    return None;
                }
            }
        }
    }
}

/// Returns a response whose body names the path of its request.
fn response_to(path: &str) -> Vec<u8> {
    let length = path.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}").into_bytes()
}

async fn call(client: &HttpClient, path: &str) -> Result<String, HttpError> {
    let call = HttpCall {
        method: hyper::Method::POST,
        path: path.to_owned(),
        headers: Vec::new(),
        content_type: "application/json",
        body: b"{}".to_vec(),
        timeout: CALL_TIMEOUT,
    };
    let response = client.call(call).await?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

/// Guards against a start that is refused as unsent although the minion carries it out, and against
/// an answer to one order that is taken for that to the next.
#[test_case(Step::Respond, Some("/1"); "response")]
#[test_case(Step::RespondSplit, Some("/1"); "split response")]
#[test_case(Step::RespondTwice, Some("/1"); "response followed by another")]
#[test_case(Step::RespondLate, None; "response after the timeout")]
#[test_case(Step::RespondInPart, None; "response cut off")]
#[test_case(Step::RespondAndClose, Some("/1"); "connection closed after the response")]
#[test_case(Step::FallSilent, None; "silent connection")]
#[test_case(Step::Close, None; "connection closed after the request was read")]
#[test_case(Step::Reset, None; "connection reset after the request was read")]
#[tokio::test]
async fn outcomes_are_true_and_responses_are_those_to_their_calls(
    step: Step,
    expected: Option<&str>,
) {
    // Once on a new connection, once on a pooled one.
    for is_pooled in [false, true] {
        let mut script = vec![step];
        if is_pooled {
            script.insert(0, Step::Respond);
        }
        let (server, address) = Server::start(&script).await;
        let client = HttpClient::new(address, IDLE_MAX, 2);
        if is_pooled {
            assert_eq!(call(&client, "/0").await.as_deref(), Ok("/0"));
        }
        let outcome = call(&client, "/1").await;
        let expected = expected.map(str::to_owned).ok_or(HttpError::NoResponse);
        assert_eq!(outcome, expected, "pooled: {is_pooled}");
        assert!(server.received().contains(&"/1".to_owned()));
        for path in ["/2", "/3", "/4", "/5"] {
            assert_outcome_is_true(&server, path, &call(&client, path).await);
            tokio::time::sleep(CALL_TIMEOUT / 3).await;
        }
        assert_eq!(call(&client, "/6").await.as_deref(), Ok("/6"));
    }
}

/// Asserts that a response is that to the call, and that the server has not got a request that was
/// not sent.
fn assert_outcome_is_true(server: &Server, path: &str, outcome: &Result<String, HttpError>) {
    match outcome {
        Ok(body) => assert_eq!(body, path),
        Err(HttpError::NoResponse) => {}
        Err(HttpError::NotSent | HttpError::Refused) => {
            let received = server.received();
            assert!(!received.iter().any(|it| it == path), "{received:?}");
        }
    }
}

/// Guards against a request that is called unsent, or sent twice, because the server closes the
/// connection while it is written.
#[tokio::test]
async fn connection_that_is_closed_as_a_request_is_written_gives_true_outcomes() {
    for delay_us in (0..600).step_by(4) {
        let (server, address) = Server::start(&[Step::RespondAndClose]).await;
        let client = HttpClient::new(address, IDLE_MAX, 2);
        assert_eq!(call(&client, "/0").await.as_deref(), Ok("/0"));
        let until = std::time::Instant::now() + Duration::from_micros(delay_us);
        while std::time::Instant::now() < until {
            tokio::task::yield_now().await;
        }
        let outcome = call(&client, "/1").await;
        assert_outcome_is_true(&server, "/1", &outcome);
        let count = server.received().iter().filter(|it| *it == "/1").count();
        assert!(count <= 1, "{delay_us} us: sent {count} times");
        assert_eq!(call(&client, "/2").await.as_deref(), Ok("/2"));
    }
}

/// Guards against a response to an order that is still on its way when its call has timed out, taken
/// for that to a later call, and against newer calls that wait for the silent connection.
#[tokio::test]
async fn request_that_is_delivered_late_gives_no_other_call_its_response() {
    let (server, address) = Server::start(&[]).await;
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(proxy.local_addr().unwrap(), IDLE_MAX, 2);
    tokio::spawn(async move {
        let mut delay = CALL_TIMEOUT * 3;
        while let Ok((mut from, _)) = proxy.accept().await {
            let pause = std::mem::take(&mut delay);
            tokio::spawn(async move {
                let mut to = TcpStream::connect(address).await.unwrap();
                let (mut reader, mut writer) = from.split();
                let (mut answers, mut requests) = to.split();
                let forward = async {
                    let mut request = [0; 4_096];
                    while let Ok(length @ 1..) = reader.read(&mut request).await {
                        tokio::time::sleep(pause).await;
                        requests.write_all(&request[..length]).await.unwrap();
                    }
                };
                // A client that has gone does not stop what is on its way to the server.
                let back = tokio::io::copy(&mut answers, &mut writer);
                let _ = tokio::join!(forward, back);
            });
        }
    });
    assert_eq!(call(&client, "/1").await, Err(HttpError::NoResponse));
    for path in ["/2", "/3", "/4", "/5", "/6"] {
        assert_eq!(call(&client, path).await.as_deref(), Ok(path));
        tokio::time::sleep(CALL_TIMEOUT / 2).await;
    }
    let received = server.received();
    let position = |path: &str| received.iter().position(|it| it == path);
    assert!(position("/1") > position("/2"), "{received:?}");
}
