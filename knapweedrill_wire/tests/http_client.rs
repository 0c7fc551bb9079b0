//! Connections that the HTTP client keeps, and when it stops to trust them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use knapweedrill_wire::{HttpCall, HttpClient, HttpFailure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const IDLE_MAX: Duration = Duration::from_secs(60);

/// How long the server takes to answer, so that calls made together need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// A server that answers what it is asked, but for the path `/unanswered` and for connections that
/// have fallen silent.
#[derive(Default)]
struct Server {
    accepted_count: AtomicUsize,
    /// Connections up to this number answer no more.
    silent_count: AtomicUsize,
}

impl Server {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self::default());
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepting.accepted_count.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(Arc::clone(&accepting).answer(stream, number));
            }
        });
        (server, address)
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream, number: usize) {
        let mut request = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut request).await {
            let is_silent = number <= self.silent_count.load(Ordering::SeqCst);
            if is_silent || request[..length].starts_with(b"POST /unanswered") {
                continue;
            }
            tokio::time::sleep(ANSWER_TIME).await;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }

    fn accepted_count(&self) -> usize {
        self.accepted_count.load(Ordering::SeqCst)
    }
}

fn call(path: &str) -> HttpCall {
    HttpCall {
        method: hyper::Method::POST,
        path: path.to_owned(),
        headers: Vec::new(),
        content_type: "application/json",
        body: Vec::new(),
        timeout: Duration::from_millis(400),
    }
}

async fn call_four_times_at_once(client: &HttpClient) {
    let answers = tokio::join!(
        client.call(call("/1")),
        client.call(call("/2")),
        client.call(call("/3")),
        client.call(call("/4")),
    );
    assert!(answers.0.is_ok() && answers.1.is_ok() && answers.2.is_ok() && answers.3.is_ok());
}

#[tokio::test]
async fn an_unanswered_call_costs_one_connection() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 2);
    call_four_times_at_once(&client).await;
    assert_eq!(server.accepted_count(), 4);
    let failure = client.call(call("/unanswered")).await.err();
    assert_eq!(failure, Some(HttpFailure::NoAnswer));
    call_four_times_at_once(&client).await;
    assert_eq!(server.accepted_count(), 5);
}

#[tokio::test]
async fn calls_in_a_row_without_an_answer_cost_all_connections_that_may_be_silent() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 2);
    call_four_times_at_once(&client).await;
    server.silent_count.store(4, Ordering::SeqCst);
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_ok());
    assert_eq!(server.accepted_count(), 5);
}

#[tokio::test]
async fn a_server_that_always_answers_is_distrusted_at_once() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 1);
    call_four_times_at_once(&client).await;
    server.silent_count.store(4, Ordering::SeqCst);
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_ok());
}
