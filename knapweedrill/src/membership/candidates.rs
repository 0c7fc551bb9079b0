//! Entries that were told of and not yet heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::message::PeerAddress;

/// How many candidates are kept.
const CANDIDATES_MAX_COUNT: usize = 64;

/// Entries that were told of and not yet heard, each for a limited time.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    told: BTreeMap<Incarnation, Candidate>,
}

#[derive(Debug)]
struct Candidate {
    address: SocketAddr,
    until: Instant,
}

impl Candidates {
    /// Adds an entry; one that is a candidate already keeps its time.
    pub(super) fn add(&mut self, entry: &PeerAddress, lifetime: Duration, now: Instant) {
        if self.told.len() >= CANDIDATES_MAX_COUNT {
            return;
        }
        self.told.entry(entry.incarnation).or_insert(Candidate {
            address: entry.link_address,
            until: now + lifetime,
        });
    }

    pub(super) fn remove(&mut self, entry: Incarnation) {
        self.told.remove(&entry);
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.told.retain(|_, candidate| candidate.until > now);
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.told.values().map(|candidate| candidate.address)
    }
}
