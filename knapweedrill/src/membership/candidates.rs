//! Candidate entries, which are known by address but have sent no heartbeat yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::message::PeerAddress;

/// The maximum number of candidates; further ones are ignored.
const CANDIDATE_COUNT_MAX: usize = 64;

/// Entries that were reported by others and have sent no heartbeat, each for a limited time.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    entries: BTreeMap<Incarnation, Candidate>,
}

#[derive(Debug)]
struct Candidate {
    address: SocketAddr,
    expires_at: Instant,
}

impl Candidates {
    /// Adds an entry; an existing candidate keeps its expiry time.
    pub(super) fn add(&mut self, entry: &PeerAddress, lifetime: Duration, now: Instant) {
        if self.entries.len() >= CANDIDATE_COUNT_MAX {
            return;
        }
        self.entries.entry(entry.incarnation).or_insert(Candidate {
            address: entry.link_address,
            expires_at: now + lifetime,
        });
    }

    pub(super) fn remove(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, candidate| candidate.expires_at > now);
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.values().map(|candidate| candidate.address)
    }
}
