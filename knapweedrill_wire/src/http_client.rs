//! Calls of one HTTP server over kept-alive connections.

use std::fmt;
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
/// A connection on which an answer is missing is closed, since it may have fallen silent. Others
/// may have with it: after enough calls in a row without an answer, all are closed that have
/// brought none since the first of these calls began.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle_max: Duration,
    distrust_after: u32,
    pool: Mutex<Pool>,
}

/// The connections that are kept, and what speaks against them.
#[derive(Debug, Default)]
struct Pool {
    /// Connections without a call, with the time of their last answer; the newest last.
    idle: Vec<(Connection, Instant)>,
    /// How many calls in a row had no answer.
    unanswered_count: u32,
    /// When the first of them began.
    unanswered_since: Option<Instant>,
}

impl Pool {
    fn note_answer(&mut self) {
        self.unanswered_count = 0;
        self.unanswered_since = None;
    }

    fn note_failure(&mut self, began_at: Instant, distrust_after: u32) {
        self.unanswered_count += 1;
        let since = self
            .unanswered_since
            .map_or(began_at, |since| since.min(began_at));
        self.unanswered_since = Some(since);
        if self.unanswered_count >= distrust_after {
            self.idle.retain(|(_, used_at)| *used_at > since);
        }
    }
}

impl HttpClient {
    /// Creates a client without connections; those unused for `idle_max` are not used again.
    ///
    /// After `distrust_after` calls in a row without an answer the kept connections count as
    /// silent. One suits a server that always answers; a server that at times leaves a call
    /// unanswered needs more, or each such call costs all connections.
    pub fn new(address: SocketAddr, idle_max: Duration, distrust_after: u32) -> Self {
        Self {
            address,
            idle_max,
            distrust_after,
            pool: Mutex::default(),
        }
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
        match answer {
            Ok(_) => self.lock().note_answer(),
            Err(_) => self.lock().note_failure(began_at, self.distrust_after),
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
            self.lock().idle.push((connection, Instant::now()));
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
