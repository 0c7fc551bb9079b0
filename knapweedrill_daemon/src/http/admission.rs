//! Admission control: checks, limits and reads requests before they reach the handler.

use std::convert::identity;
use std::io::{self, Cursor, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use knapweedrill::api::{Method, OWNER_HEADER};
use tiny_http::Request;

use super::concurrency_limit::{ConcurrencyLimit, Permit};
use super::method::method_of;
use super::rejection::Rejection;
use super::thread_pool::ThreadPool;
use super::{HttpLimits, HttpRequest, HttpResponse, Responder};
use crate::telemetry::{Counter, Gauge, Metrics};

/// The health check path, which the server handles itself.
pub(super) const HEALTH_PATH: &str = "/healthz";

/// The HTTP library reads bodies up to this size before it returns the request, in bytes.
const BUFFERED_BODY_MAX_BYTES: usize = 1_024;

/// A body that was not read is discarded up to this size, in bytes.
const DISCARDED_BODY_MAX_BYTES: usize = 64 << 20;

const CHUNK_BYTES: usize = 64 << 10;

/// The maximum number of concurrent responses that don't come from the handler.
const CONCURRENT_REJECTION_MAX_COUNT: usize = 256;

type Handler = Box<dyn Fn(HttpRequest) + Send + Sync>;

/// Checks requests, reads them within the limits and passes them to the handler.
pub(super) struct Admission {
    handler: Handler,
    limits: HttpLimits,
    metrics: Arc<Metrics>,
    pool: ThreadPool,
    requests: Arc<ConcurrencyLimit>,
    body_readers: Arc<ConcurrencyLimit>,
    rejections: Arc<ConcurrencyLimit>,
    is_stopping: AtomicBool,
}

/// The parts of a request that has been read completely.
struct ParsedRequest {
    method: Method,
    url: String,
    owner: Option<String>,
    body: Vec<u8>,
}

impl Admission {
    /// Creates the admission control for a handler.
    pub(super) fn new(
        limits: HttpLimits,
        metrics: Arc<Metrics>,
        handler: impl Fn(HttpRequest) + Send + Sync + 'static,
    ) -> Self {
        Self {
            handler: Box::new(handler),
            pool: ThreadPool::new(),
            requests: ConcurrencyLimit::new(limits.request_count),
            body_readers: ConcurrencyLimit::new(limits.body_reader_count),
            rejections: ConcurrencyLimit::new(CONCURRENT_REJECTION_MAX_COUNT),
            is_stopping: AtomicBool::new(false),
            limits,
            metrics,
        }
    }

    /// Returns the number of requests without a complete response, including rejected ones.
    pub(super) fn in_flight_count(&self) -> usize {
        self.requests.count() + self.rejections.count()
    }

    /// Returns the number of accepted requests without a complete response.
    pub(super) fn accepted_count(&self) -> usize {
        self.requests.count()
    }

    /// Rejects all requests from now on.
    pub(super) fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Accepts or rejects a request, without blocking.
    pub(super) fn admit(self: &Arc<Self>, request: Request) {
        if request.url() == HEALTH_PATH {
            self.respond(request, HttpResponse::text(200, "ok\n"));
            return;
        }
        self.metrics.add(Counter::HttpRequests, 1);
        if let Err(rejection) = self.check_head(&request) {
            self.reject(request, rejection);
            return;
        }
        let Some(permit) = self.requests.try_acquire() else {
            self.reject(request, Rejection::TooManyRequests);
            return;
        };
        // `stop` may have been called after the first check and before this request was counted.
        if self.is_stopping() {
            drop(permit);
            self.reject(request, Rejection::ShuttingDown);
            return;
        }
        self.report_in_flight();
        self.read_on_pool_thread(request, permit);
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Checks the request line and the headers.
    fn check_head(&self, request: &Request) -> Result<(), Rejection> {
        if self.is_stopping() {
            return Err(Rejection::ShuttingDown);
        }
        if method_of(request.method()).is_none() {
            return Err(Rejection::MethodNotAllowed);
        }
        if request.body_length() > Some(self.limits.body_bytes) {
            return Err(self.body_too_large());
        }
        check_framing(request)
    }

    fn read_on_pool_thread(self: &Arc<Self>, request: Request, permit: Permit) {
        let body_reader = if has_unread_body(&request) {
            let Some(reader) = self.body_readers.try_acquire() else {
                drop(permit);
                self.reject(request, Rejection::TooManyBodyReads);
                return;
            };
            Some(reader)
        } else {
            None
        };
        let admission = Arc::clone(self);
        self.pool
            .run(move || admission.read_and_handle(request, permit, body_reader));
    }

    fn read_and_handle(&self, mut request: Request, permit: Permit, body_reader: Option<Permit>) {
        let parsed = self.parse(&mut request);
        drop(body_reader);
        match parsed {
            Ok(parsed) => self.handle(request, permit, parsed),
            Err(rejection) => {
                drop(permit);
                self.reject(request, rejection);
            }
        }
        self.report_in_flight();
    }

    fn handle(&self, request: Request, permit: Permit, parsed: ParsedRequest) {
        (self.handler)(HttpRequest {
            method: parsed.method,
            url: parsed.url,
            owner: parsed.owner,
            body: parsed.body,
            responder: Responder::new(request, permit, self.pool.clone()),
        });
    }

    fn parse(&self, request: &mut Request) -> Result<ParsedRequest, Rejection> {
        let method = method_of(request.method()).ok_or(Rejection::MethodNotAllowed)?;
        let url = url(request)?;
        let owner = owner(request)?;
        let body = self.read_body(request)?;
        Ok(ParsedRequest {
            method,
            url,
            owner,
            body,
        })
    }

    /// Reads the body within the limits of size and time.
    ///
    /// The deadline is checked after each read, so it can be exceeded by at most the read timeout of
    /// the socket.
    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Rejection> {
        let deadline = Instant::now() + self.limits.body_timeout;
        let declared_bytes = request.body_length();
        let mut body = Vec::new();
        let mut chunk = vec![0; CHUNK_BYTES];
        let reader = request.as_reader();
        loop {
            match reader.read(&mut chunk) {
                Ok(0) => break,
                Ok(length) => body.extend_from_slice(&chunk[..length]),
                Err(_) => return Err(Rejection::BodyTimeout),
            }
            if body.len() > self.limits.body_bytes {
                return Err(self.body_too_large());
            }
            if Instant::now() > deadline {
                return Err(Rejection::BodyTimeout);
            }
        }
        match declared_bytes {
            Some(declared) if declared != body.len() => Err(Rejection::Malformed(
                "the body is shorter than its Content-Length",
            )),
            _ => Ok(body),
        }
    }

    fn reject(&self, request: Request, rejection: Rejection) {
        self.count(rejection);
        let has_token = has_header(&request, OWNER_HEADER);
        self.respond(request, rejection.response(has_token));
    }

    /// Responds to a request that does not reach the handler.
    fn respond(&self, request: Request, response: HttpResponse) {
        let Some(permit) = self.rejections.try_acquire() else {
            // Too many responses are blocked on slow clients. The HTTP library responds with a
            // bare status 500 when the request is dropped, which is not counted as in flight.
            self.pool.run(move || discard(request));
            return;
        };
        self.pool
            .run(move || respond_and_discard(request, response, permit));
    }

    fn count(&self, rejection: Rejection) {
        let counter = if rejection.is_overload() {
            Counter::HttpOverloaded
        } else {
            Counter::HttpRefused
        };
        self.metrics.add(counter, 1);
    }

    fn body_too_large(&self) -> Rejection {
        Rejection::BodyTooLarge {
            max_bytes: self.limits.body_bytes,
        }
    }

    fn report_in_flight(&self) {
        let count = self.requests.count();
        self.metrics.set(
            Gauge::HttpInFlight,
            u64::try_from(count).unwrap_or(u64::MAX),
        );
    }
}

/// Sends a response and discards the rest of the body.
///
/// When a request is dropped, the HTTP library allocates memory for the unread part of the body. A
/// declared length that exceeds the available memory would abort the process, so such a request
/// gets a response but is never dropped. Its file descriptors stay open until the process ends.
fn respond_and_discard(request: Request, response: HttpResponse, permit: Permit) {
    if request.body_length() > Some(DISCARDED_BODY_MAX_BYTES) {
        log::warn!("HTTP request declares an oversized body, its connection is leaked");
        let stream = request.upgrade("none", response.into_response(identity));
        std::mem::forget(stream);
        return;
    }
    // Responding fails if the client has disconnected, which needs no handling.
    if has_unread_body(&request) {
        // Discarding the body may block without limit, so the permit is released once the response
        // is written.
        let _ = request.respond(response.into_response(|body| BodyWithPermit {
            body,
            _permit: permit,
        }));
    } else {
        let _ = request.respond(response.into_response(identity));
        drop(permit);
    }
}

/// A response body that holds a permit until it has been written.
struct BodyWithPermit {
    body: Cursor<Vec<u8>>,
    _permit: Permit,
}

impl Read for BodyWithPermit {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.body.read(buffer)
    }
}

/// Drops a request without sending a response.
fn discard(request: Request) {
    if request.body_length() > Some(DISCARDED_BODY_MAX_BYTES) {
        std::mem::forget(request);
    }
}

/// Checks that the length of the body is unambiguous.
///
/// Otherwise a part of the body could be parsed as the next request (request smuggling).
fn check_framing(request: &Request) -> Result<(), Rejection> {
    let has_length = has_header(request, "Content-Length");
    let is_chunked = has_header(request, "Transfer-Encoding");
    if has_length && is_chunked {
        return Err(Rejection::Malformed(
            "Content-Length and Transfer-Encoding must not be combined",
        ));
    }
    if has_length && request.body_length().is_none() {
        return Err(Rejection::Malformed(
            "Content-Length is not a number of bytes",
        ));
    }
    Ok(())
}

fn has_unread_body(request: &Request) -> bool {
    let is_chunked = has_header(request, "Transfer-Encoding");
    let expects_continue = has_header(request, "Expect");
    let is_long = request.body_length() > Some(BUFFERED_BODY_MAX_BYTES);
    is_chunked || expects_continue || is_long
}

fn has_header(request: &Request, name: &'static str) -> bool {
    request
        .headers()
        .iter()
        .any(|header| header.field.equiv(name))
}

fn url(request: &Request) -> Result<String, Rejection> {
    let url = request.url();
    if !url.starts_with('/') {
        return Err(Rejection::Malformed("the path must begin with '/'"));
    }
    Ok(url.to_owned())
}

fn owner(request: &Request) -> Result<Option<String>, Rejection> {
    let mut values = request
        .headers()
        .iter()
        .filter(|header| header.field.equiv(OWNER_HEADER));
    let first = values.next().map(|header| header.value.to_string());
    match values.next() {
        Some(_) => Err(Rejection::Malformed(
            "the header Knapweedrill-Owner is given more than once",
        )),
        None => Ok(first),
    }
}
