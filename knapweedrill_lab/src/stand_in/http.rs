//! A small HTTP server with a fixed pool of threads.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Request, Response, Server};

/// How long a thread waits for a request before it checks whether the server is stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Serves HTTP on a fixed pool of threads until it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on `listen` and passes each request to `handler` on one of `thread_count` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(
        listen: SocketAddr,
        thread_count: usize,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = Arc::new(Server::from_listener(listener, None).map_err(io::Error::other)?);
        let handler = Arc::new(handler);
        let is_stopping = Arc::new(AtomicBool::new(false));
        let threads = (0..thread_count)
            .map(|_| {
                let server = Arc::clone(&server);
                let handler = Arc::clone(&handler);
                let is_stopping = Arc::clone(&is_stopping);
                thread::spawn(move || serve(&server, &*handler, &is_stopping))
            })
            .collect();
        Ok(Self {
            address,
            is_stopping,
            threads,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // The panic hook has already reported a handler that panicked.
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, handler: &impl Fn(Request), is_stopping: &AtomicBool) {
    while !is_stopping.load(Ordering::Acquire) {
        if let Ok(Some(request)) = server.recv_timeout(STOP_POLL) {
            handler(request);
        }
    }
}

/// Reads the body of a request; returns `None` if it exceeds `limit_bytes` or can't be read.
pub(super) fn read_body(request: &mut Request, limit_bytes: u64) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(limit_bytes + 1);
    reader.read_to_end(&mut body).ok()?;
    (body.len() as u64 <= limit_bytes).then_some(body)
}

/// Reads the body of a request as JSON; returns `None` if it is too long or doesn't parse.
pub(super) fn read_json<T: DeserializeOwned>(request: &mut Request, limit_bytes: u64) -> Option<T> {
    let body = read_body(request, limit_bytes)?;
    serde_json::from_slice(&body).ok()
}

/// Returns the value of a header, or `None` if it is missing.
pub(super) fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(header.value.as_str())
}

/// Returns the path of a request without its query.
pub(super) fn path(request: &Request) -> &str {
    let url = request.url();
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Returns a query parameter as a number, or `None` if it is missing or not a number.
pub(super) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let (_, query) = request.url().split_once('?')?;
    let (_, value) = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Responds with a status and a JSON body.
pub(super) fn respond_json(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_string(body).expect("all maps in responses have string keys");
    let header =
        Header::from_bytes("Content-Type", "application/json").expect("the header is valid ASCII");
    let response = Response::from_string(text)
        .with_status_code(status)
        .with_header(header);
    // An error means that the client has closed the connection.
    let _ = request.respond(response);
}

/// Responds with a status and a plain-text body.
pub(super) fn respond_text(request: Request, status: u16, text: impl Into<String>) {
    let response = Response::from_string(text).with_status_code(status);
    // An error means that the client has closed the connection.
    let _ = request.respond(response);
}
