//! Calls of one HTTP server over kept-alive connections.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The largest answer that is read. The longest page of the store's newest records is 1 MB.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// A call of a server.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The path, with the query.
    pub path: String,
    /// Headers beside those of HTTP itself; `Host` replaces the server's address.
    pub headers: Vec<(&'static str, String)>,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
    /// How long the whole call may take.
    pub timeout: Duration,
}

/// The answer of a server.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpFailure {
    /// The connection could not be made: the server has not seen the call.
    NotSent,
    /// The server may have seen the call.
    NoAnswer,
}

impl fmt::Display for HttpFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("the connection could not be made"),
            Self::NoAnswer => f.write_str("no answer came in time"),
        }
    }
}

impl std::error::Error for HttpFailure {}

type Connection = SendRequest<Full<Bytes>>;

/// A client of one server; it keeps connections for later calls.
///
/// A connection on which an answer is missing is closed. It may have fallen silent, and others
/// with it, so all are closed too that have brought no answer since that call began.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle_max: Duration,
    idle: Mutex<Vec<(Connection, Instant)>>,
}

impl HttpClient {
    /// Creates a client without connections; those unused for `idle_max` are not used again.
    pub fn new(address: SocketAddr, idle_max: Duration) -> Self {
        Self {
            address,
            idle_max,
            idle: Mutex::default(),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls the server.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer in time.
    pub async fn call(&self, call: HttpCall) -> Result<HttpAnswer, HttpFailure> {
        let timeout = call.timeout;
        let began_at = Instant::now();
        let outcome = tokio::time::timeout(timeout, self.try_call(call)).await;
        let answer = outcome.unwrap_or(Err(HttpFailure::NoAnswer));
        if answer.is_err() {
            self.lock().retain(|(_, used_at)| *used_at > began_at);
        }
        answer
    }

    async fn try_call(&self, call: HttpCall) -> Result<HttpAnswer, HttpFailure> {
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
            .map_err(|_| HttpFailure::NotSent)?;
        let answer = connection
            .send_request(request)
            .await
            .map_err(|_| HttpFailure::NoAnswer)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|_| HttpFailure::NoAnswer)?
            .to_bytes();
        if connection.ready().await.is_ok() {
            self.lock().push((connection, Instant::now()));
        }
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connection(&self) -> Result<Connection, HttpFailure> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| HttpFailure::NotSent)?;
        // Without it small calls wait for the acknowledgement of the one before; a failure only
        // slows them down.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| HttpFailure::NotSent)?;
        // The connection ends with its sender; why it ended shows in the call.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some((connection, since)) = idle.pop() {
            if !connection.is_closed() && since.elapsed() < self.idle_max {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
