//! Issuing of owner tokens.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Generation, Incarnation, RosterDigest};
use crate::contract::{OwnerToken, roster_digest};

/// Issues the owner tokens of an entry and tracks the roster of sidecars that each token covers.
///
/// Adding a sidecar starts a new generation. Jobs of earlier generations are never handed to that
/// sidecar, so the roster digest in a token covers every sidecar that may start a task under it.
#[value]
pub struct TokenMint {
    incarnation: Incarnation,
    generation: Generation,
    generation_started_at: Instant,
    digest: RosterDigest,
    /// The superseded tokens that are still valid, by generation.
    superseded: BTreeMap<Generation, SupersededToken>,
    /// The sidecars in use, with the first generation whose jobs each may run.
    roster: BTreeMap<Incarnation, Generation>,
}

#[value]
struct SupersededToken {
    roster: RosterDigest,
    superseded_at: Instant,
}

impl TokenMint {
    /// Creates a mint whose first token has an empty roster.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            generation: 0,
            generation_started_at: now,
            digest: roster_digest([]),
            superseded: BTreeMap::new(),
            roster: BTreeMap::new(),
        }
    }

    /// Returns the current token.
    pub fn current(&self) -> OwnerToken {
        OwnerToken {
            incarnation: self.incarnation,
            generation: self.generation,
            roster: self.digest,
        }
    }

    /// Returns the sidecars in the roster of the current token.
    pub fn sidecars(&self) -> impl Iterator<Item = Incarnation> {
        self.roster.keys().copied()
    }

    /// Returns whether a job of a generation may be handed to a sidecar.
    pub fn may_use(&self, sidecar: Incarnation, generation: Generation) -> bool {
        self.first_generation(sidecar)
            .is_some_and(|first_generation| first_generation <= generation)
    }

    /// Returns the first generation whose jobs may be handed to a sidecar.
    pub fn first_generation(&self, sidecar: Incarnation) -> Option<Generation> {
        self.roster.get(&sidecar).copied()
    }

    /// Adds a sidecar to the roster, which starts a new generation.
    ///
    /// Returns `false` if the sidecar is in the roster already.
    pub fn add_sidecar(&mut self, sidecar: Incarnation, now: Instant) -> bool {
        if self.roster.contains_key(&sidecar) {
            return false;
        }
        self.start_generation(now);
        self.roster.insert(sidecar, self.generation);
        self.digest = roster_digest(self.sidecars());
        true
    }

    /// Removes a sidecar from the roster, which starts a new generation.
    ///
    /// Returns `false` if the sidecar is not in the roster.
    pub fn remove_sidecar(&mut self, sidecar: Incarnation, now: Instant) -> bool {
        if self.roster.remove(&sidecar).is_none() {
            return false;
        }
        self.start_generation(now);
        self.digest = roster_digest(self.sidecars());
        true
    }

    /// Starts a new generation if the current one is at least `interval` old.
    ///
    /// Returns whether a generation was started.
    pub fn rotate(&mut self, interval: Duration, now: Instant) -> bool {
        if now.duration_since(self.generation_started_at) < interval {
            return false;
        }
        self.start_generation(now);
        true
    }

    /// Removes the tokens that were superseded more than `retention` ago; they are no longer valid.
    pub fn remove_superseded(&mut self, retention: Duration, now: Instant) {
        while let Some(oldest) = self.superseded.first_entry() {
            if now.duration_since(oldest.get().superseded_at) <= retention {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns whether the token of a generation was removed.
    pub fn has_expired(&self, generation: Generation) -> bool {
        let oldest = self.superseded.keys().next().copied();
        generation < oldest.unwrap_or(self.generation)
    }

    /// Returns whether the token was issued here and has not been removed.
    pub fn is_valid(&self, token: OwnerToken) -> bool {
        if token == self.current() {
            return true;
        }
        token.incarnation == self.incarnation
            && self
                .superseded
                .get(&token.generation)
                .is_some_and(|superseded| superseded.roster == token.roster)
    }

    fn start_generation(&mut self, now: Instant) {
        self.superseded.insert(
            self.generation,
            SupersededToken {
                roster: self.digest,
                superseded_at: now,
            },
        );
        self.generation += 1;
        self.generation_started_at = now;
    }
}
