//! The way of a request from the HTTP library to the handler.

use std::convert::identity;
use std::io::{self, Cursor, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use knapweedrill::api::{Method, OWNER_HEADER};
use tiny_http::Request;

use super::in_flight::{InFlight, Place};
use super::method::method_of;
use super::refused::Refused;
use super::thread_pool::ThreadPool;
use super::{HttpLimits, HttpReply, HttpRequest, Responder};
use crate::telemetry::{Counter, Gauge, Metrics};

/// The path that the server answers itself.
pub(super) const HEALTH_PATH: &str = "/healthz";

/// The HTTP library buffers bodies up to this size before it hands the request out.
const BUFFERED_BYTES: usize = 1_024;

/// The rest of a refused body is read and thrown away up to this size.
const DISCARD_BYTES_MAX: usize = 64 << 20;

const CHUNK_BYTES: usize = 64 << 10;

/// The requests over the bound that are answered with a refusal at the same time.
const REFUSAL_COUNT: usize = 256;

type Handler = Box<dyn Fn(HttpRequest) + Send + Sync>;

/// Reads requests within bounds and passes them to the handler.
pub(super) struct Intake {
    handler: Handler,
    limits: HttpLimits,
    metrics: Arc<Metrics>,
    pool: ThreadPool,
    requests: Arc<InFlight>,
    body_readers: Arc<InFlight>,
    refusals: Arc<InFlight>,
    is_stopping: AtomicBool,
}

/// What a request asks, once it has been read whole.
struct Parsed {
    method: Method,
    url: String,
    owner: Option<String>,
    body: Vec<u8>,
}

impl Intake {
    /// Creates the intake of a handler.
    pub(super) fn new(
        limits: HttpLimits,
        metrics: Arc<Metrics>,
        handler: impl Fn(HttpRequest) + Send + Sync + 'static,
    ) -> Self {
        Self {
            handler: Box::new(handler),
            pool: ThreadPool::new(),
            requests: InFlight::new(limits.request_count),
            body_readers: InFlight::new(limits.body_reader_count),
            refusals: InFlight::new(REFUSAL_COUNT),
            is_stopping: AtomicBool::new(false),
            limits,
            metrics,
        }
    }

    /// Returns how many requests have no answer yet.
    pub(super) fn in_flight_count(&self) -> usize {
        self.requests.count() + self.refusals.count()
    }

    /// Returns how many requests were not refused and have no answer yet.
    pub(super) fn accepted_count(&self) -> usize {
        self.requests.count()
    }

    /// Refuses requests from now on.
    pub(super) fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Takes a request in, without blocking.
    pub(super) fn take(self: &Arc<Self>, request: Request) {
        if request.url() == HEALTH_PATH {
            self.answer(request, HttpReply::text(200, "ok\n"));
            return;
        }
        self.metrics.add(Counter::HttpRequests, 1);
        if let Err(refused) = self.check_head(&request) {
            self.refuse(request, refused);
            return;
        }
        let Some(place) = self.requests.enter() else {
            self.refuse(request, Refused::TooManyRequests);
            return;
        };
        // A stop that began since the first check may not have counted this request.
        if self.is_stopping() {
            drop(place);
            self.refuse(request, Refused::Stopping);
            return;
        }
        self.report_in_flight();
        self.read_on_own_thread(request, place);
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Checks what can be told from the head of a request alone.
    fn check_head(&self, request: &Request) -> Result<(), Refused> {
        if self.is_stopping() {
            return Err(Refused::Stopping);
        }
        if method_of(request.method()).is_none() {
            return Err(Refused::MethodNotServed);
        }
        if request.body_length() > Some(self.limits.body_bytes) {
            return Err(self.too_large());
        }
        check_framing(request)
    }

    fn read_on_own_thread(self: &Arc<Self>, request: Request, place: Place) {
        let body_reader = if has_unread_body(&request) {
            let Some(reader) = self.body_readers.enter() else {
                drop(place);
                self.refuse(request, Refused::TooManyBodies);
                return;
            };
            Some(reader)
        } else {
            None
        };
        let intake = Arc::clone(self);
        self.pool
            .run(move || intake.read_and_handle(request, place, body_reader));
    }

    fn read_and_handle(&self, mut request: Request, place: Place, body_reader: Option<Place>) {
        let parsed = self.parse(&mut request);
        drop(body_reader);
        match parsed {
            Ok(parsed) => self.handle(request, place, parsed),
            Err(refused) => {
                drop(place);
                self.refuse(request, refused);
            }
        }
        self.report_in_flight();
    }

    fn handle(&self, request: Request, place: Place, parsed: Parsed) {
        (self.handler)(HttpRequest {
            method: parsed.method,
            url: parsed.url,
            owner: parsed.owner,
            body: parsed.body,
            responder: Responder::new(request, place, self.pool.clone()),
        });
    }

    fn parse(&self, request: &mut Request) -> Result<Parsed, Refused> {
        let method = method_of(request.method()).ok_or(Refused::MethodNotServed)?;
        let url = url(request)?;
        let owner = owner(request)?;
        let body = self.read_body(request)?;
        Ok(Parsed {
            method,
            url,
            owner,
            body,
        })
    }

    /// Reads the body within the bounds of size and time.
    ///
    /// A single read ends with the timeout of the socket, so the bound of time is exceeded by
    /// that much at most.
    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Refused> {
        let deadline = Instant::now() + self.limits.body_time;
        let announced_bytes = request.body_length();
        let mut body = Vec::new();
        let mut chunk = vec![0; CHUNK_BYTES];
        let reader = request.as_reader();
        loop {
            match reader.read(&mut chunk) {
                Ok(0) => break,
                Ok(length) => body.extend_from_slice(&chunk[..length]),
                Err(_) => return Err(Refused::TooSlow),
            }
            if body.len() > self.limits.body_bytes {
                return Err(self.too_large());
            }
            if Instant::now() > deadline {
                return Err(Refused::TooSlow);
            }
        }
        match announced_bytes {
            Some(announced) if announced != body.len() => {
                Err(Refused::Malformed("the body is cut off"))
            }
            _ => Ok(body),
        }
    }

    fn refuse(&self, request: Request, refused: Refused) {
        self.count(refused);
        let has_token = has_header(&request, OWNER_HEADER);
        self.answer(request, refused.reply(has_token));
    }

    /// Answers a request that does not reach the handler.
    fn answer(&self, request: Request, reply: HttpReply) {
        let Some(place) = self.refusals.enter() else {
            // So many refusals wait for slow clients that this client gets a bare status 500
            // from the HTTP library, on a thread that nobody waits for.
            self.pool.run(move || discard(request));
            return;
        };
        self.pool
            .run(move || answer_and_discard(request, reply, place));
    }

    fn count(&self, refused: Refused) {
        let counter = if refused.is_overload() {
            Counter::HttpOverloaded
        } else {
            Counter::HttpRefused
        };
        self.metrics.add(counter, 1);
    }

    fn too_large(&self) -> Refused {
        Refused::TooLarge {
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

/// Answers, and throws the rest of the body away.
///
/// When a request is dropped, the HTTP library allocates memory for the part of the body that
/// it has not read. A length that no memory could hold would end the process, so such a request
/// is answered and never dropped; its descriptors stay open until the process ends.
fn answer_and_discard(request: Request, reply: HttpReply, place: Place) {
    if request.body_length() > Some(DISCARD_BYTES_MAX) {
        log::warn!("an HTTP request announced a body beyond all bounds");
        let stream = request.upgrade("none", reply.into_response(identity));
        std::mem::forget(stream);
        return;
    }
    // The client may be gone; there is nobody left to tell.
    if has_unread_body(&request) {
        // The rest of the body may take for ever, so the place goes with the answer.
        let _ = request.respond(reply.into_response(|body| BodyInPlace {
            body,
            _place: place,
        }));
    } else {
        let _ = request.respond(reply.into_response(identity));
        drop(place);
    }
}

/// The body of an answer that holds a place until it has been written.
struct BodyInPlace {
    body: Cursor<Vec<u8>>,
    _place: Place,
}

impl Read for BodyInPlace {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.body.read(buffer)
    }
}

/// Drops a request without an answer of our own.
fn discard(request: Request) {
    if request.body_length() > Some(DISCARD_BYTES_MAX) {
        std::mem::forget(request);
    }
}

/// Checks that the end of the body is certain.
///
/// Otherwise a part of the body could be taken for the next request.
fn check_framing(request: &Request) -> Result<(), Refused> {
    let has_length = has_header(request, "Content-Length");
    let is_chunked = has_header(request, "Transfer-Encoding");
    if has_length && is_chunked {
        return Err(Refused::Malformed(
            "Content-Length and Transfer-Encoding exclude each other",
        ));
    }
    if has_length && request.body_length().is_none() {
        return Err(Refused::Malformed(
            "Content-Length is not a number of bytes",
        ));
    }
    Ok(())
}

fn has_unread_body(request: &Request) -> bool {
    let is_chunked = has_header(request, "Transfer-Encoding");
    let expects_continue = has_header(request, "Expect");
    let is_long = request.body_length() > Some(BUFFERED_BYTES);
    is_chunked || expects_continue || is_long
}

fn has_header(request: &Request, name: &'static str) -> bool {
    request
        .headers()
        .iter()
        .any(|header| header.field.equiv(name))
}

fn url(request: &Request) -> Result<String, Refused> {
    let url = request.url();
    if !url.starts_with('/') {
        return Err(Refused::Malformed("the path must begin with '/'"));
    }
    Ok(url.to_owned())
}

fn owner(request: &Request) -> Result<Option<String>, Refused> {
    let mut values = request
        .headers()
        .iter()
        .filter(|header| header.field.equiv(OWNER_HEADER));
    let first = values.next().map(|header| header.value.to_string());
    match values.next() {
        Some(_) => Err(Refused::Malformed(
            "the header Knapweedrill-Owner stands twice",
        )),
        None => Ok(first),
    }
}
