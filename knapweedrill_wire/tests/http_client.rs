//! Connection pool of the HTTP client: reuse, and eviction after failed calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use knapweedrill_wire::{HttpCall, HttpClient, HttpError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Delay of each response, so that concurrent calls need a connection each.
const RESPONSE_DELAY: Duration = Duration::from_millis(30);

/// A server that responds to all requests except those to `/unanswered` and those on unresponsive
/// connections.
#[derive(Default)]
struct Server {
    accepted_count: AtomicUsize,
    /// The number of connections, in the order of their acceptance, that get no more responses.
    unresponsive_count: AtomicUsize,
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
                tokio::spawn(Arc::clone(&accepting).respond(stream, number));
            }
        });
        (server, address)
    }

    async fn respond(self: Arc<Self>, mut stream: TcpStream, number: usize) {
        let mut request = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut request).await {
            let is_unresponsive = number <= self.unresponsive_count.load(Ordering::SeqCst);
            if is_unresponsive || request[..length].starts_with(b"POST /unanswered") {
                continue;
            }
            tokio::time::sleep(RESPONSE_DELAY).await;
            if stream.write_all(RESPONSE).await.is_err() {
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
    let responses = tokio::join!(
        client.call(call("/1")),
        client.call(call("/2")),
        client.call(call("/3")),
        client.call(call("/4")),
    );
    assert!(
        responses.0.is_ok() && responses.1.is_ok() && responses.2.is_ok() && responses.3.is_ok()
    );
}

#[tokio::test]
async fn call_without_response_closes_only_its_own_connection() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 2);
    call_four_times_at_once(&client).await;
    assert_eq!(server.accepted_count(), 4);
    let failure = client.call(call("/unanswered")).await.err();
    assert_eq!(failure, Some(HttpError::NoResponse));
    call_four_times_at_once(&client).await;
    assert_eq!(server.accepted_count(), 5);
}

#[tokio::test]
async fn consecutive_failures_close_all_unresponsive_connections() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 2);
    call_four_times_at_once(&client).await;
    server.unresponsive_count.store(4, Ordering::SeqCst);
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_ok());
    assert_eq!(server.accepted_count(), 5);
}

#[tokio::test]
async fn threshold_of_one_closes_idle_connections_after_the_first_failure() {
    let (server, address) = Server::start().await;
    let client = HttpClient::new(address, IDLE_MAX, 1);
    call_four_times_at_once(&client).await;
    server.unresponsive_count.store(4, Ordering::SeqCst);
    assert!(client.call(call("/")).await.is_err());
    assert!(client.call(call("/")).await.is_ok());
}

/// Guards against a local failure to connect that looks like a server that is gone.
#[tokio::test]
async fn only_a_refused_connection_shows_that_no_server_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpClient::new(address, IDLE_MAX, 2);
    let refused = client.call(call("/")).await.err();
    // The kernel refuses to connect a stream to the broadcast address, and sends nothing.
    let client = HttpClient::new("255.255.255.255:9".parse().unwrap(), IDLE_MAX, 2);
    let unreachable = client.call(call("/")).await.err();
    assert_eq!(unreachable, Some(HttpError::NotSent));
    assert_eq!(refused, Some(HttpError::Refused));
}
