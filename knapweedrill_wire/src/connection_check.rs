//! The check that a connection leads to a certain process.

use std::fmt;

use super::http_client::{HttpCall, HttpResponse};

/// Start time of a server process, which identifies it; 0 if the server does not report it. Such a
/// server counts as any process.
pub type ServerStart = u64;

/// What has to hold for a connection before a request is written to it.
///
/// A new connection may have been accepted by a later process than the one that was there when it was
/// requested. Once a response has arrived on it, it ends with the process that sent this response.
pub struct ConnectionCheck<'a> {
    /// The call whose response tells which process is there. It must have no effect that matters at
    /// another process. Its timeout is not used.
    pub call: HttpCall,
    /// Reads the start time from the response to that call, or returns `None` if the response does
    /// not come from a process that may get the request.
    pub read_start: &'a (dyn Fn(&HttpResponse) -> Option<ServerStart> + Sync),
    /// The start time of the process that the request is meant for.
    pub expected_start: ServerStart,
    /// Returns whether the request may still be sent; called right before it is written.
    pub may_send: &'a (dyn Fn() -> bool + Sync),
}

impl ConnectionCheck<'_> {
    /// Returns whether the process with this start time is the expected one.
    pub(crate) fn is_expected(&self, start: ServerStart) -> bool {
        start == self.expected_start || start == 0 || self.expected_start == 0
    }
}

impl fmt::Debug for ConnectionCheck<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionCheck")
            .field("call", &self.call)
            .field("expected_start", &self.expected_start)
            .finish_non_exhaustive()
    }
}
