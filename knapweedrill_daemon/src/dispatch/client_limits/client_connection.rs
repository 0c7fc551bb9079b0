//! A connection of a client, as the memory budget knows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tokio::sync::Notify;

use super::client_gate::ClientGate;
use super::memory_budget::{ConnectionId, Decision};

/// The bytes that a connection may receive without a part of a body among them, while a body is
/// received: a read buffer and a few trailers. The HTTP library keeps trailers.
const UNFRAMED_BYTES_MAX: u64 = 20_480;

/// A connection in the memory budget of its process. Clones are the same connection; it is removed from
/// the budget with the last one.
#[derive(Debug, Clone)]
pub(in crate::dispatch) struct ClientConnection(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    gate: ClientGate,
    id: ConnectionId,
    closer: Arc<Notify>,
    /// The bytes received since the last part of a body.
    unframed_bytes: AtomicU64,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.gate.remove(self.id);
    }
}

/// A request exceeds the memory that is left for it, and must be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::dispatch) struct MemoryRefusal;

impl ClientConnection {
    pub(super) fn new(gate: ClientGate, id: ConnectionId, closer: Arc<Notify>) -> Self {
        Self(Arc::new(Inner {
            gate,
            id,
            closer,
            unframed_bytes: AtomicU64::new(0),
        }))
    }

    /// Waits until the connection has to be closed.
    pub(in crate::dispatch) async fn closed(&self) {
        self.0.closer.notified().await;
    }

    /// Handles received bytes, and returns whether the connection may go on.
    pub(in crate::dispatch) fn receive(&self, bytes: usize) -> bool {
        let Inner { gate, id, .. } = &*self.0;
        let bytes = bytes as u64;
        let unframed_bytes = self.0.unframed_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        unframed_bytes <= UNFRAMED_BYTES_MAX
            && gate.with(|budget| budget.receive(*id, bytes, Instant::now())) != Decision::Refused
    }

    /// Handles a received part of a body.
    pub(in crate::dispatch) fn receive_frame(&self) {
        self.0.unframed_bytes.store(0, Ordering::Relaxed);
    }

    /// Handles the end of a head. A body of at most `expected_bytes` may follow.
    pub(in crate::dispatch) fn end_head(&self, expected_bytes: u64) {
        self.receive_frame();
        let Inner { gate, id, .. } = &*self.0;
        gate.with(|budget| budget.end_head(*id, expected_bytes, Instant::now()));
    }

    /// Waits until a body of a declared length may be received.
    ///
    /// # Errors
    ///
    /// Fails if it must be refused.
    pub(in crate::dispatch) async fn admit_body(&self, bytes: u64) -> Result<(), MemoryRefusal> {
        let Inner { gate, id, .. } = &*self.0;
        wait_granted(|| gate.with(|budget| budget.admit_body(*id, bytes, Instant::now()))).await
    }

    /// Waits until the connection may hold `bytes` of memory for its request.
    ///
    /// # Errors
    ///
    /// Fails if the request must be refused.
    pub(in crate::dispatch) async fn hold(&self, bytes: u64) -> Result<(), MemoryRefusal> {
        let Inner { gate, id, .. } = &*self.0;
        wait_granted(|| gate.with(|budget| budget.hold(*id, bytes, Instant::now()))).await
    }

    /// Handles the end of a request that holds `bytes` of memory while it is carried out.
    ///
    /// # Errors
    ///
    /// Fails if it must be refused and not be carried out.
    pub(in crate::dispatch) async fn begin_answer(&self, bytes: u64) -> Result<(), MemoryRefusal> {
        let Inner { gate, id, .. } = &*self.0;
        wait_granted(|| gate.with(|budget| budget.begin_answer(*id, bytes, Instant::now()))).await
    }

    /// Handles a response that holds `bytes` of memory, and returns whether it may be sent.
    pub(in crate::dispatch) fn end_answer(&self, bytes: u64) -> bool {
        self.receive_frame();
        let Inner { gate, id, .. } = &*self.0;
        let decision = gate.with(|budget| budget.end_answer(*id, bytes, Instant::now()));
        decision == Decision::Granted
    }
}

async fn wait_granted(decide: impl Fn() -> Decision) -> Result<(), MemoryRefusal> {
    loop {
        match decide() {
            Decision::Granted => return Ok(()),
            Decision::Refused => return Err(MemoryRefusal),
            Decision::Wait => tokio::task::yield_now().await,
        }
    }
}
