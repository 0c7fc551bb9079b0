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

use super::checked_response::CheckedResponse;
use super::connection_check::{ConnectionCheck, ServerStart};

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

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The start time of the process at the other end, once a response has told it.
    server_start: Option<ServerStart>,
}

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
        self.record(response.is_ok(), started_at);
        response
    }

    /// Sends a request on a connection that is known to lead to the expected process, and returns the
    /// complete response. The request is never moved to another connection.
    ///
    /// The check costs a call on each new connection, and on one whose process is not the expected
    /// one. Its time counts towards the timeout of the call.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established, in which case the request was not sent, or if no
    /// complete response to the request arrives within the timeout of the call.
    pub async fn call_checked(
        &self,
        call: HttpCall,
        check: ConnectionCheck<'_>,
    ) -> Result<CheckedResponse, HttpError> {
        let timeout = call.timeout;
        let started_at = Instant::now();
        let mut is_sent = false;
        let sending = self.send_checked(call, check, &mut is_sent);
        let result = tokio::time::timeout(timeout, sending).await;
        let response = match result {
            Ok(response) => response,
            Err(_) if is_sent => Err(HttpError::NoResponse),
            Err(_) => Ok(CheckedResponse::Unchecked),
        };
        let is_answered = !matches!(response, Ok(CheckedResponse::Unchecked) | Err(_));
        self.record(is_answered, started_at);
        response
    }

    /// Sends a request and returns the complete response, and keeps what it tells about the process
    /// for later calls on the same connection.
    ///
    /// # Errors
    ///
    /// Fails as [`call`](Self::call) does.
    pub async fn call_and_identify(
        &self,
        call: HttpCall,
        read_start: impl Fn(&HttpResponse) -> Option<ServerStart>,
    ) -> Result<HttpResponse, HttpError> {
        let timeout = call.timeout;
        let started_at = Instant::now();
        let sending = async {
            let mut connection = self.connection().await?;
            let response = self.send(&mut connection, call).await?;
            connection.server_start = read_start(&response);
            self.keep(connection).await;
            Ok(response)
        };
        let result = tokio::time::timeout(timeout, sending).await;
        let response = result.unwrap_or(Err(HttpError::NoResponse));
        self.record(response.is_ok(), started_at);
        response
    }

    async fn send_checked(
        &self,
        call: HttpCall,
        check: ConnectionCheck<'_>,
        is_sent: &mut bool,
    ) -> Result<CheckedResponse, HttpError> {
        let is_expected =
            |start: Option<ServerStart>| start.is_some_and(|it| check.is_expected(it));
        let idle = self.take_idle(|connection| is_expected(connection.server_start));
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connection().await?,
        };
        if !is_expected(connection.server_start) {
            let Ok(response) = self.send(&mut connection, check.call.clone()).await else {
                return Ok(CheckedResponse::Unchecked);
            };
            connection.server_start = (check.read_start)(&response);
            if !is_expected(connection.server_start) {
                self.keep(connection).await;
                return Ok(CheckedResponse::OtherProcess(response));
            }
            // A process that has ended since closes the connection, so that nothing is sent.
            if connection.sender.ready().await.is_err() {
                return Ok(CheckedResponse::Unchecked);
            }
        }
        if !(check.may_send)() {
            self.keep(connection).await;
            return Ok(CheckedResponse::Withheld);
        }
        *is_sent = true;
        let response = self.send(&mut connection, call).await?;
        self.keep(connection).await;
        Ok(CheckedResponse::Response(response))
    }

    async fn send_call(&self, call: HttpCall) -> Result<HttpResponse, HttpError> {
        let mut connection = self.connection().await?;
        let response = self.send(&mut connection, call).await?;
        self.keep(connection).await;
        Ok(response)
    }

    async fn send(
        &self,
        connection: &mut Connection,
        call: HttpCall,
    ) -> Result<HttpResponse, HttpError> {
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
            .sender
            .send_request(request)
            .await
            .map_err(|_| HttpError::NoResponse)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| HttpError::NoResponse)?
            .to_bytes();
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Returns a connection to the pool once it can carry another request.
    async fn keep(&self, mut connection: Connection) {
        if connection.sender.ready().await.is_ok() {
            self.lock().idle.push((connection, Instant::now()));
        }
    }

    /// Records whether a call that began at `started_at` has got a response.
    fn record(&self, is_answered: bool, started_at: Instant) {
        let mut pool = self.lock();
        if is_answered {
            pool.record_success();
        } else {
            pool.record_failure(started_at, self.failure_threshold);
        }
    }

    /// Takes the idle connection that was used last, or opens one.
    async fn connection(&self) -> Result<Connection, HttpError> {
        if let Some(connection) = self.take_idle(|_| true) {
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
        Ok(Connection {
            sender,
            server_start: None,
        })
    }

    /// Removes and returns the idle connection that was used last among those that are suitable.
    fn take_idle(&self, is_suitable: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let mut pool = self.lock();
        pool.idle.retain(|(connection, since)| {
            !connection.sender.is_closed() && since.elapsed() < self.idle_max
        });
        let position = pool
            .idle
            .iter()
            .rposition(|(connection, _)| is_suitable(connection))?;
        Some(pool.idle.remove(position).0)
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
