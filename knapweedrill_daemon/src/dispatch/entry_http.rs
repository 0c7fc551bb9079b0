//! The requests of callers at an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crossbeam::channel::Sender;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::CallerId;
use knapweedrill_platform::{
    CallerRequest, CallerResponse, DEADLINE_HEADER, READY_PATH, parse_request,
};
use tokio::sync::oneshot;

use super::entry::EntryEvent;
use super::http::{WholeResponse, read_body, response};

/// What the state tells the traffic thread.
#[derive(Debug, Default)]
pub(super) struct Published {
    /// Whether callers may come.
    pub(super) is_ready: AtomicBool,
    /// Whether connections are closed with the next answer, so that callers go elsewhere.
    pub(super) closes_connections: AtomicBool,
    /// The largest body that is taken, in bytes; 0 without a configuration.
    pub(super) body_bytes_max: AtomicU32,
}

/// A request of a caller, for the state.
pub(super) struct Call {
    pub(super) caller: CallerId,
    pub(super) host: String,
    pub(super) path: String,
    pub(super) request: CallerRequest,
    pub(super) reply: oneshot::Sender<CallerResponse>,
}

/// The way from callers to the state.
#[derive(Clone)]
pub(super) struct Gate {
    events: Sender<EntryEvent>,
    published: Arc<Published>,
    next_caller: Arc<AtomicU64>,
}

/// Tells the state when a caller leaves before its answer.
struct LeaveNotice {
    events: Sender<EntryEvent>,
    caller: CallerId,
    job: Option<JobName>,
}

impl Drop for LeaveNotice {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            // After the end of the state there is nothing to stop.
            let _ = self.events.send(EntryEvent::CallerLeft(self.caller, job));
        }
    }
}

impl Gate {
    pub(super) fn new(events: Sender<EntryEvent>, published: Arc<Published>) -> Self {
        Self {
            events,
            published,
            next_caller: Arc::default(),
        }
    }

    /// Answers the platform whether callers may come.
    pub(super) fn readiness(&self, request: &Request<Incoming>) -> WholeResponse {
        let is_asked = request.uri().path() == READY_PATH;
        let status = match (is_asked, self.published.is_ready.load(Ordering::Relaxed)) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        response(status, String::new())
    }

    /// Answers a caller.
    pub(super) async fn call(self, request: Request<Incoming>) -> WholeResponse {
        let published = Arc::clone(&self.published);
        let mut response = self.answer(request).await;
        if published.closes_connections.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(self, request: Request<Incoming>) -> WholeResponse {
        let bytes_max = self.published.body_bytes_max.load(Ordering::Relaxed);
        if bytes_max == 0 {
            return response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let (head, body) = request.into_parts();
        let body = match read_body(body, bytes_max as usize).await {
            Ok(body) => body,
            Err(status) => return response(status, String::new()),
        };
        let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
        let host = head.headers.get(HOST).and_then(text).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        let path = head.uri.path().to_owned();
        let deadline = head.headers.get(DEADLINE_HEADER).and_then(text);
        let request = parse_request(&head.method, &host, &path, deadline.as_deref(), &body);
        self.pass_on(host, path, request).await
    }

    async fn pass_on(self, host: String, path: String, request: CallerRequest) -> WholeResponse {
        let caller = self.next_caller.fetch_add(1, Ordering::Relaxed);
        let job = match &request {
            CallerRequest::Submit(submission) => Some(submission.name),
            _ => None,
        };
        let (reply, answered) = oneshot::channel();
        let call = Call {
            caller,
            host,
            path,
            request,
            reply,
        };
        if self.events.send(EntryEvent::Call(Box::new(call))).is_err() {
            return response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let mut notice = LeaveNotice {
            events: self.events,
            caller,
            job,
        };
        let answer = answered.await;
        notice.job = None;
        match answer {
            Ok(reply) => write(reply),
            // The state has ended with the job; a part of it may have run.
            Err(_) => response(StatusCode::BAD_GATEWAY, String::new()),
        }
    }
}

fn write(reply: CallerResponse) -> WholeResponse {
    let mut response = response(reply.status, reply.body);
    if let Some(seconds) = reply.retry_after_s {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
