//! HTTP requests of callers to an entry.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

use crossbeam::channel::Sender;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::CallerId;
use knapweedrill_platform::{
    CallerRequest, CallerResponse, DEADLINE_HEADER, READY_PATH, parse_request,
};
use tokio::sync::oneshot;

use super::client_limits::ClientConnection;
use super::entry::EntryEvent;
use super::http::{FullResponse, json_response, memory_refusal, read_body};

/// The response to a request, once it is ready.
type ResponseFuture = Pin<Box<dyn Future<Output = FullResponse> + Send>>;

/// State that the event loop publishes to the traffic thread.
#[derive(Debug, Default)]
pub(super) struct PublishedState {
    /// The result of readiness probes.
    pub(super) is_ready: AtomicBool,
    /// Whether connections are closed after the next response, so that callers reconnect to another
    /// entry.
    pub(super) closes_connections: AtomicBool,
    /// The maximum size of a request body, in bytes; 0 without a configuration.
    pub(super) body_bytes_max: AtomicU32,
}

/// A connection of a caller, known to the event loop and the traffic thread.
#[derive(Debug)]
pub(super) struct CallerConnection {
    pub(super) accepted_at: Instant,
    /// Whether it is closed after the next response.
    is_closing: AtomicBool,
}

impl CallerConnection {
    /// Closes the connection after the next response.
    pub(super) fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }
}

/// A request of a caller that waits for its response from the event loop.
pub(super) struct PendingRequest {
    pub(super) caller: CallerId,
    pub(super) connection: Arc<CallerConnection>,
    pub(super) host: String,
    pub(super) path: String,
    pub(super) request: CallerRequest,
    pub(super) response_sender: oneshot::Sender<CallerResponse>,
}

/// Handles requests of callers: parses them, passes them to the event loop and returns its
/// responses.
#[derive(Clone)]
pub(super) struct CallerService {
    events: Sender<EntryEvent>,
    published: Arc<PublishedState>,
    next_caller: Arc<AtomicU64>,
}

/// What is used of the head of a request. The head itself keeps the buffer alive that it was read into.
struct RequestHead {
    method: Method,
    host: String,
    path: String,
    deadline: Option<String>,
}

impl RequestHead {
    /// Returns what is used of a head, and the body.
    fn split(request: Request<Incoming>) -> (Self, Incoming) {
        let (head, body) = request.into_parts();
        let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
        let host = head.headers.get(HOST).and_then(text).unwrap_or_default();
        let used = Self {
            host: host.split(':').next().unwrap_or_default().to_owned(),
            path: head.uri.path().to_owned(),
            deadline: head.headers.get(DEADLINE_HEADER).and_then(text),
            method: head.method,
        };
        (used, body)
    }
}

/// The memory of a step of a job in the event loop, in bytes, with that of its tasks before they run.
const STEP_BYTES: u64 = 512;

/// Returns the memory that a request holds until its response, in bytes.
fn request_bytes(request: &CallerRequest) -> u64 {
    match request {
        CallerRequest::Submit(submission) => {
            let strings_bytes = submission.spec.len() + submission.path.len();
            strings_bytes as u64 + STEP_BYTES * submission.steps.len() as u64
        }
        _ => 0,
    }
}

/// Drop guard that notifies the event loop when a caller disconnects before its response.
struct DisconnectGuard {
    events: Sender<EntryEvent>,
    caller: CallerId,
    job: Option<JobName>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            // The event loop has ended if this fails, and there is nothing to stop.
            let _ = self.events.send(EntryEvent::CallerLeft(self.caller, job));
        }
    }
}

impl CallerService {
    /// Creates a service that sends requests as events to the event loop.
    pub(super) fn new(events: Sender<EntryEvent>, published: Arc<PublishedState>) -> Self {
        Self {
            events,
            published,
            next_caller: Arc::default(),
        }
    }

    /// Returns the response to a readiness probe of the platform.
    pub(super) fn readiness(&self, request: &Request<Incoming>) -> FullResponse {
        let is_probe = request.uri().path() == READY_PATH;
        let status = match (is_probe, self.published.is_ready.load(Ordering::Relaxed)) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        json_response(status, String::new())
    }

    /// Returns the handler of a connection that was accepted at `accepted_at`.
    pub(super) fn on_connection(
        &self,
        accepted_at: Instant,
    ) -> impl Fn(ClientConnection, Request<Incoming>) -> ResponseFuture + Send + use<> {
        let service = self.clone();
        let connection = Arc::new(CallerConnection {
            accepted_at,
            is_closing: AtomicBool::new(false),
        });
        move |client, request| {
            let connection = Arc::clone(&connection);
            Box::pin(service.clone().handle(client, connection, request))
        }
    }

    /// Returns the response to a request of a caller.
    async fn handle(
        self,
        client: ClientConnection,
        connection: Arc<CallerConnection>,
        request: Request<Incoming>,
    ) -> FullResponse {
        let published = Arc::clone(&self.published);
        let mut response = self.respond(&client, &connection, request).await;
        let is_closing = connection.is_closing.load(Ordering::Relaxed);
        if is_closing || published.closes_connections.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(
        self,
        client: &ClientConnection,
        connection: &Arc<CallerConnection>,
        request: Request<Incoming>,
    ) -> FullResponse {
        let bytes_max = self.published.body_bytes_max.load(Ordering::Relaxed);
        if bytes_max == 0 {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let (request, body) = RequestHead::split(request);
        let body = match read_body(client, body, bytes_max as usize).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let RequestHead {
            method,
            host,
            path,
            deadline,
        } = request;
        let request = parse_request(&method, &host, &path, deadline.as_deref(), &body);
        drop(body);
        // A request that is refused here has not reached the event loop.
        match client.begin_answer(request_bytes(&request)).await {
            Ok(()) => self.forward(connection, host, path, request).await,
            Err(_) => memory_refusal(),
        }
    }

    /// Passes a request to the event loop and waits for its response.
    async fn forward(
        self,
        connection: &Arc<CallerConnection>,
        host: String,
        path: String,
        request: CallerRequest,
    ) -> FullResponse {
        let caller = self.next_caller.fetch_add(1, Ordering::Relaxed);
        let job = match &request {
            CallerRequest::Submit(submission) => Some(submission.name),
            _ => None,
        };
        let (response_sender, response_receiver) = oneshot::channel();
        let pending = PendingRequest {
            caller,
            connection: Arc::clone(connection),
            host,
            path,
            request,
            response_sender,
        };
        if self
            .events
            .send(EntryEvent::Request(Box::new(pending)))
            .is_err()
        {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let mut guard = DisconnectGuard {
            events: self.events,
            caller,
            job,
        };
        let received = response_receiver.await;
        guard.job = None;
        match received {
            Ok(caller_response) => http_response(caller_response),
            // The event loop ended before the job did, of which a part may have run.
            Err(_) => json_response(StatusCode::BAD_GATEWAY, String::new()),
        }
    }
}

fn http_response(caller_response: CallerResponse) -> FullResponse {
    let mut response = json_response(caller_response.status, caller_response.body);
    if let Some(seconds) = caller_response.retry_after_s {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
