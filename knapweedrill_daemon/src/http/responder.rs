//! Sending responses from any thread.

use std::convert::identity;
use std::fmt;

use tiny_http::Request;

use super::HttpResponse;
use super::concurrency_limit::Permit;
use super::thread_pool::ThreadPool;

/// Sends the response to a request, from any thread and without blocking it.
///
/// A responder that is dropped without a response sends status 500 with the outcome `unknown`.
pub struct Responder {
    pending: Option<Pending>,
    pool: ThreadPool,
}

struct Pending {
    request: Request,
    permit: Permit,
}

impl Responder {
    /// Creates the responder of a request, which holds `permit` until the response is written.
    pub(super) fn new(request: Request, permit: Permit, pool: ThreadPool) -> Self {
        Self {
            pending: Some(Pending { request, permit }),
            pool,
        }
    }

    /// Sends the response.
    pub fn respond(mut self, response: HttpResponse) {
        self.send(response);
    }

    fn send(&mut self, response: HttpResponse) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.pool.run(move || pending.write(response));
    }
}

impl Pending {
    fn write(self, response: HttpResponse) {
        // Fails if the client has disconnected, which needs no handling.
        let _ = self.request.respond(response.into_response(identity));
        drop(self.permit);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.send(HttpResponse::unknown(500, None, "the request was dropped"));
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder").finish_non_exhaustive()
    }
}
