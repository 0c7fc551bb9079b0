//! HTTP client with a connection pool for a single server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Upper bound of a response body, in bytes. The longest page of newest records that the store
/// returns is 1 MB.
const RESPONSE_BODY_MAX_BYTES: usize = 4 << 20;

/// A request to the server, with its timeout.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The request method.
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    /// Headers besides `Content-Type` and those that HTTP sets itself. `Host` defaults to the
    /// address of the server.
    pub headers: Vec<(&'static str, String)>,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// The request body; may be empty.
    pub body: Vec<u8>,
    /// Limit for the whole call, including the connection setup and the response body.
    pub timeout: Duration,
}

/// A complete response of the server.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// The reason why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The connection was refused: nothing listens at the address, or something in between refuses
    /// connections to it. The server has not received the request.
    Refused,
    /// The connection could not be established for another reason, such as too many open descriptors
    /// of this process, or the request is not valid. The server has not received the request.
    NotSent,
    /// The request was sent or may have been sent, but no complete response arrived in time.
    NoResponse,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the connection was refused"),
            Self::NotSent => f.write_str("the connection could not be established"),
            Self::NoResponse => f.write_str("no complete response arrived in time"),
        }
    }
}

impl std::error::Error for HttpError {}

type Connection = SendRequest<Full<Bytes>>;

/// A client of one server that pools idle connections for later calls.
///
/// A connection on which a call failed is closed, since its peer may no longer respond. Other
/// pooled connections may be affected as well: after a number of consecutive failed calls, every
/// idle connection without a response since the first of these calls started is closed.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle_max: Duration,
    failure_threshold: u32,
    pool: Mutex<Pool>,
}

/// Idle connections and the consecutive failures that lead to their eviction.
#[derive(Debug, Default)]
struct Pool {
    /// Idle connections with the time of their last response, most recently used last.
    idle: Vec<(Connection, Instant)>,
    /// Number of calls that failed since the last response.
    consecutive_failure_count: u32,
    /// Start of the earliest of these calls.
    first_failed_call_at: Option<Instant>,
}

impl Pool {
    fn record_success(&mut self) {
        self.consecutive_failure_count = 0;
        self.first_failed_call_at = None;
    }

    fn record_failure(&mut self, started_at: Instant, failure_threshold: u32) {
        self.consecutive_failure_count += 1;
        let since = self
            .first_failed_call_at
            .map_or(started_at, |since| since.min(started_at));
        self.first_failed_call_at = Some(since);
        if self.consecutive_failure_count >= failure_threshold {
            self.idle
                .retain(|(_, last_response_at)| *last_response_at > since);
        }
    }
}

impl HttpClient {
    /// Creates a client without connections. A connection that was idle for `idle_max` is not
    /// reused.
    ///
    /// After `failure_threshold` consecutive failed calls, idle connections without a response since
    /// then are closed. A threshold of 1 suits a server that always responds. A server that leaves
    /// single calls without a response needs a higher one, or each such call closes all idle
    /// connections.
    pub fn new(address: SocketAddr, idle_max: Duration, failure_threshold: u32) -> Self {
        Self {
            address,
            idle_max,
            failure_threshold,
            pool: Mutex::default(),
        }
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established or if no complete response arrives within the
    /// timeout of the call.
    pub async fn call(&self, call: HttpCall) -> Result<HttpResponse, HttpError> {
        let timeout = call.timeout;
        let started_at = Instant::now();
        let result = tokio::time::timeout(timeout, self.send_call(call)).await;
        let response = result.unwrap_or(Err(HttpError::NoResponse));
        match response {
            Ok(_) => self.lock().record_success(),
            Err(_) => self
                .lock()
                .record_failure(started_at, self.failure_threshold),
        }
        response
    }

    async fn send_call(&self, call: HttpCall) -> Result<HttpResponse, HttpError> {
        let mut connection = self.connection().await?;
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(CONTENT_TYPE, call.content_type);
        if !call.headers.iter().any(|(name, _)| HOST == *name) {
            request = request.header(HOST, self.address.to_string());
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|_| HttpError::NotSent)?;
        let response = connection
            .send_request(request)
            .await
            .map_err(|_| HttpError::NoResponse)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| HttpError::NoResponse)?
            .to_bytes();
        if connection.ready().await.is_ok() {
            self.lock().idle.push((connection, Instant::now()));
        }
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connection(&self) -> Result<Connection, HttpError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let stream =
            TcpStream::connect(self.address)
                .await
                .map_err(|error| match error.kind() {
                    io::ErrorKind::ConnectionRefused => HttpError::Refused,
                    _ => HttpError::NotSent,
                })?;
        // Nagle's algorithm would delay small requests until the previous one is acknowledged. A
        // failure to disable it only adds latency.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| HttpError::NotSent)?;
        // The task ends when the sender is dropped. An error of the connection is reported by the
        // pending call.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut pool = self.lock();
        while let Some((connection, since)) = pool.idle.pop() {
            if !connection.is_closed() && since.elapsed() < self.idle_max {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
