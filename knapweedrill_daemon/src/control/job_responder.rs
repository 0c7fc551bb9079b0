//! Responses to job requests, serialised off the control thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::api::{JobResponse, OWNER_HEADER};
use knapweedrill::entry::{CallerRequest, CallerResponse};

use super::PublishedState;
use crate::http::{HttpResponse, Responder};

/// The number of threads that serialise responses.
const THREAD_COUNT: usize = 2;

/// A response to a job request that has to be serialised and sent.
#[derive(Debug)]
struct QueuedResponse {
    responder: Responder,
    request: CallerRequest,
    response: CallerResponse,
}

/// Serialises and sends responses to job requests on a fixed pool of threads.
#[derive(Debug, Clone)]
pub struct JobResponder {
    responses: Sender<QueuedResponse>,
}

impl JobResponder {
    /// Starts the threads of the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub fn start(published: &Arc<PublishedState>) -> eyre::Result<Self> {
        let (responses, queue) = channel::unbounded();
        for _ in 0..THREAD_COUNT {
            let queue = queue.clone();
            let published = Arc::clone(published);
            thread::Builder::new()
                .name("reply".into())
                .spawn(move || send_responses(&queue, &published))
                .wrap_err("cannot start a thread for job responses")?;
        }
        Ok(Self { responses })
    }

    /// Queues the response to a request.
    ///
    /// `request` may lack what the response does not depend on, such as payloads.
    pub fn send(&self, responder: Responder, request: CallerRequest, response: CallerResponse) {
        let queued = QueuedResponse {
            responder,
            request,
            response,
        };
        // If the threads have ended, the responder is dropped, which sends an error response.
        let _ = self.responses.send(queued);
    }
}

fn send_responses(queue: &Receiver<QueuedResponse>, published: &PublishedState) {
    for queued in queue {
        let job_response = JobResponse::new(&queued.request, queued.response);
        queued
            .responder
            .respond(job_http_response(&job_response, published));
    }
}

/// Builds the HTTP response, with the owner token for new jobs in its header.
pub(super) fn job_http_response(
    job_response: &JobResponse,
    published: &PublishedState,
) -> HttpResponse {
    let response = HttpResponse::json(job_response.http_status(), job_response);
    let response = match job_response.retry_after_ms {
        Some(retry_after_ms) => response.with_retry_after(Duration::from_millis(retry_after_ms)),
        None => response,
    };
    match published.token() {
        Some(token) => response.with_header(OWNER_HEADER, token.to_string()),
        None => response,
    }
}
