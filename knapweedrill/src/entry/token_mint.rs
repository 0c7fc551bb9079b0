//! The mint of an entry's owner tokens.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Generation, Incarnation, RosterDigest};
use crate::contract::{OwnerToken, roster_digest};

/// Mints an entry's owner tokens and keeps the set of sidecars that each names.
///
/// A sidecar that joins starts a new generation. Jobs of earlier generations are never handed to
/// it, so the roster digest in a token covers every sidecar that may start a task under it.
#[value]
pub struct TokenMint {
    incarnation: Incarnation,
    generation: Generation,
    minted_at: Instant,
    digest: RosterDigest,
    /// The digests of the generations that are still honoured, and when each was superseded.
    minted: BTreeMap<Generation, MintedToken>,
    /// The sidecars in use, with the generation from which on each is used.
    roster: BTreeMap<Incarnation, Generation>,
}

#[value]
struct MintedToken {
    roster: RosterDigest,
    superseded_at: Instant,
}

impl TokenMint {
    /// Creates a mint whose first token names no sidecar.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            generation: 0,
            minted_at: now,
            digest: roster_digest([]),
            minted: BTreeMap::new(),
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

    /// Returns the sidecars that the current token names.
    pub fn sidecars(&self) -> impl Iterator<Item = Incarnation> {
        self.roster.keys().copied()
    }

    /// Returns whether a job of that generation may be handed to a sidecar.
    pub fn may_use(&self, sidecar: Incarnation, generation: Generation) -> bool {
        self.joined(sidecar)
            .is_some_and(|joined| joined <= generation)
    }

    /// Returns the first generation whose jobs may be handed to a sidecar.
    pub fn joined(&self, sidecar: Incarnation) -> Option<Generation> {
        self.roster.get(&sidecar).copied()
    }

    /// Takes a sidecar into use from a new generation on.
    ///
    /// Returns whether the sidecar was not in use before.
    pub fn join(&mut self, sidecar: Incarnation, now: Instant) -> bool {
        if self.roster.contains_key(&sidecar) {
            return false;
        }
        self.advance(now);
        self.roster.insert(sidecar, self.generation);
        self.digest = roster_digest(self.sidecars());
        true
    }

    /// Takes a sidecar out of use, so that new tokens no longer name it.
    ///
    /// Returns whether the sidecar was in use before.
    pub fn leave(&mut self, sidecar: Incarnation, now: Instant) -> bool {
        if self.roster.remove(&sidecar).is_none() {
            return false;
        }
        self.advance(now);
        self.digest = roster_digest(self.sidecars());
        true
    }

    /// Starts a new generation if the current one is older than `time`.
    pub fn rotate(&mut self, time: Duration, now: Instant) -> bool {
        if now.duration_since(self.minted_at) < time {
            return false;
        }
        self.advance(now);
        true
    }

    /// Drops the tokens that were superseded more than `time` ago.
    pub fn forget(&mut self, time: Duration, now: Instant) {
        while let Some(oldest) = self.minted.first_entry() {
            if now.duration_since(oldest.get().superseded_at) <= time {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns whether a generation's token was dropped.
    pub fn has_expired(&self, generation: Generation) -> bool {
        let oldest = self.minted.keys().next().copied();
        generation < oldest.unwrap_or(self.generation)
    }

    /// Returns whether the mint has handed out this token and still honours it.
    pub fn is_genuine(&self, token: OwnerToken) -> bool {
        if token == self.current() {
            return true;
        }
        token.incarnation == self.incarnation
            && self
                .minted
                .get(&token.generation)
                .is_some_and(|minted| minted.roster == token.roster)
    }

    fn advance(&mut self, now: Instant) {
        self.minted.insert(
            self.generation,
            MintedToken {
                roster: self.digest,
                superseded_at: now,
            },
        );
        self.generation += 1;
        self.minted_at = now;
    }
}
