use std::net::SocketAddr;

use super::call_content::CallContent;
use super::{JobName, Simulation};

/// A digest of all that a simulation does: every datagram with its bytes, every hold call, and every
/// event of the trace, such as answers, starts, stops and faults.
///
/// Two plays of one seed have equal digests at each millisecond unless something besides the seed
/// has decided.
#[derive(Debug, Default)]
pub(super) struct TraceDigest {
    hasher: blake3::Hasher,
    /// The number of events of the trace that are in the digest.
    event_count: usize,
    /// The digest at the end of each millisecond, from the first one on.
    by_ms: Vec<blake3::Hash>,
}

impl TraceDigest {
    fn add(&mut self, now_ms: u64, kind: &str, content: &[u8]) {
        self.hasher.update(&now_ms.to_le_bytes());
        self.hasher.update(kind.as_bytes());
        self.hasher.update(&content.len().to_le_bytes());
        self.hasher.update(content);
    }

    fn add_events(&mut self, events: &[(u64, Option<JobName>, String)]) {
        for (at_ms, job, text) in &events[self.event_count..] {
            self.add(*at_ms, "event", format!("{job:?} {text}").as_bytes());
        }
        self.event_count = events.len();
    }
}

impl Simulation {
    /// Begins the digest of what the simulation does. Called before time advances.
    pub(crate) fn begin_trace_digest(&mut self) {
        self.trace_digest = Some(TraceDigest::default());
    }

    /// Returns the digest at the end of each millisecond; empty without
    /// [`Self::begin_trace_digest`].
    pub(crate) fn trace_digests(&self) -> &[blake3::Hash] {
        let digest = self.trace_digest.as_ref();
        digest.map_or(&[], |digest| &digest.by_ms)
    }

    /// Adds a datagram that a node sends.
    pub(super) fn digest_datagram(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        if let Some(digest) = &mut self.trace_digest {
            digest.add(self.now_ms, &format!("datagram {from} {to}"), bytes);
        }
    }

    /// Adds a call to a minion, if it is a hold; starts and stops are events of the trace.
    pub(super) fn digest_call(&mut self, node: usize, content: &CallContent) {
        if let (Some(digest), CallContent::Hold(hold)) = (&mut self.trace_digest, content) {
            let text = format!("{hold:?}");
            digest.add(self.now_ms, &format!("hold {node}"), text.as_bytes());
        }
    }

    /// Adds the events of the millisecond that ends now.
    pub(super) fn digest_step(&mut self) {
        if let Some(digest) = &mut self.trace_digest {
            digest.add_events(&self.trace);
            digest.by_ms.push(digest.hasher.finalize());
        }
    }
}
