//! Answers about jobs, turned into HTTP off the control thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::api::{JobResponse, OWNER_HEADER};
use knapweedrill::entry::{CallerRequest, CallerResponse};

use super::Published;
use crate::http::{HttpResponse, Responder};

/// How many threads turn answers into HTTP.
const THREAD_COUNT: usize = 2;

/// An answer to a caller.
#[derive(Debug)]
struct Reply {
    responder: Responder,
    request: CallerRequest,
    response: CallerResponse,
}

/// Turns answers about jobs into HTTP on threads of their own.
#[derive(Debug, Clone)]
pub struct Replies {
    replies: Sender<Reply>,
}

impl Replies {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread can't be started.
    pub fn start(published: &Arc<Published>) -> eyre::Result<Self> {
        let (replies, queue) = channel::unbounded();
        for _ in 0..THREAD_COUNT {
            let queue = queue.clone();
            let published = Arc::clone(published);
            thread::Builder::new()
                .name("reply".into())
                .spawn(move || reply_all(&queue, &published))
                .wrap_err("can't start a thread for replies")?;
        }
        Ok(Self { replies })
    }

    /// Answers a caller.
    ///
    /// `request` may be stripped of what the answer does not depend on, such as payloads.
    pub fn send(&self, responder: Responder, request: CallerRequest, response: CallerResponse) {
        let reply = Reply {
            responder,
            request,
            response,
        };
        // Without threads the responder is dropped, which answers the caller.
        let _ = self.replies.send(reply);
    }
}

fn reply_all(queue: &Receiver<Reply>, published: &Published) {
    for reply in queue {
        let answer = JobResponse::new(&reply.request, reply.response);
        reply.responder.respond(job_reply(&answer, published));
    }
}

/// Turns an answer about a job into HTTP.
pub(super) fn job_reply(answer: &JobResponse, published: &Published) -> HttpResponse {
    let reply = HttpResponse::json(answer.http_status(), answer);
    let reply = match answer.retry_after_ms {
        Some(retry_after_ms) => reply.with_retry_after(Duration::from_millis(retry_after_ms)),
        None => reply,
    };
    match published.token() {
        Some(token) => reply.with_header(OWNER_HEADER, token.to_string()),
        None => reply,
    }
}
