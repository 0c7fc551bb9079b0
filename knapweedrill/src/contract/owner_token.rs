//! Owner tokens, which permanently assign a job to its owner.

use std::fmt;
use std::str::FromStr;

use knapweedrill_derive::key;

use crate::common::{Generation, Incarnation, JobId, RosterDigest};

/// Identifies the entry that owns a job and the sidecars that may start its tasks.
///
/// Entries issue tokens; a client repeats the token unchanged when it resubmits a job. Since the
/// token is part of the job's identity, entries need no consensus to find the owner. The roster
/// digest fixes the set of sidecar incarnations that may ever start a task of the job, so that
/// another entry can determine whether any of them did after the owner is lost.
#[key]
pub struct OwnerToken {
    /// The incarnation of the entry that issued the token.
    pub incarnation: Incarnation,
    /// The number of the token among those of the entry.
    pub generation: Generation,
    /// The digest of the sidecars that the entry used when it issued the token.
    pub roster: RosterDigest,
}

impl OwnerToken {
    /// Returns the identifier of the job that a client of `team` submits as `key` under this token.
    pub fn job_id(&self, team: &str, key: &str) -> JobId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.generation.to_le_bytes());
        hasher.update(&self.roster.to_le_bytes());
        // The length separates the team from the key, so that (ab, c) and (a, bc) differ.
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key.as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        JobId::from_le_bytes(id)
    }
}

impl fmt::Display for OwnerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{:x}-{:016x}",
            self.incarnation, self.generation, self.roster
        )
    }
}

/// The text is not a valid owner token.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is not an owner token; get one from GET /v1/owner and repeat it unchanged")]
pub struct OwnerTokenError {
    text: String,
}

impl FromStr for OwnerToken {
    type Err = OwnerTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| OwnerTokenError {
            text: text.chars().take(64).collect(),
        })
    }
}

fn parse(text: &str) -> Option<OwnerToken> {
    let mut parts = text.split('-');
    let token = OwnerToken {
        incarnation: Incarnation::from_str_radix(parts.next()?, 16).ok()?,
        generation: Generation::from_str_radix(parts.next()?, 16).ok()?,
        roster: RosterDigest::from_str_radix(parts.next()?, 16).ok()?,
    };
    // Only the canonical form is valid; otherwise texts that differ in case or leading zeros would
    // denote the same token.
    (parts.next().is_none() && token.to_string() == text).then_some(token)
}
