//! Answering from any thread.

use std::convert::identity;
use std::fmt;

use tiny_http::Request;

use super::HttpReply;
use super::in_flight::Place;
use super::thread_pool::ThreadPool;

/// Takes the answer to a request, from any thread and without blocking it.
///
/// A responder that is dropped without an answer sends status 500 and says that the outcome is unknown.
pub struct Responder {
    pending: Option<Pending>,
    pool: ThreadPool,
}

struct Pending {
    request: Request,
    place: Place,
}

impl Responder {
    /// Creates the responder of a request that holds a place.
    pub(super) fn new(request: Request, place: Place, pool: ThreadPool) -> Self {
        Self {
            pending: Some(Pending { request, place }),
            pool,
        }
    }

    /// Sends the answer.
    pub fn respond(mut self, reply: HttpReply) {
        self.send(reply);
    }

    fn send(&mut self, reply: HttpReply) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.pool.run(move || pending.write(reply));
    }
}

impl Pending {
    fn write(self, reply: HttpReply) {
        // The client may be gone; there is nobody left to tell.
        let _ = self.request.respond(reply.into_response(identity));
        drop(self.place);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.send(HttpReply::unknown(500, None, "the request was dropped"));
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder").finish_non_exhaustive()
    }
}
