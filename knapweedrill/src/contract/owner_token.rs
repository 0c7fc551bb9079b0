//! The token that fixes the owner of a job for ever.

use std::fmt;
use std::str::FromStr;

use knapweedrill_derive::key;

use crate::common::{Generation, Incarnation, JobId, RosterDigest};

/// Names the entry that owns a job, and the sidecars that may start its tasks.
///
/// An entry mints tokens; a client repeats the token unchanged when it resubmits. Since the
/// owner is part of the job's name, no agreement between entries is needed to find it. The
/// roster digest names the only sidecar incarnations that may ever start a task of the job, so
/// that another entry can tell truthfully whether any did after the owner is gone.
#[key]
pub struct OwnerToken {
    /// The entry that minted the token.
    pub incarnation: Incarnation,
    /// Which of the entry's tokens it is.
    pub generation: Generation,
    /// The sidecars that the entry used when it minted the token.
    pub roster: RosterDigest,
}

impl OwnerToken {
    /// Returns the identifier of the job that a team's client names `key` under this token.
    pub fn job_id(&self, team: &str, key: &str) -> JobId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.generation.to_le_bytes());
        hasher.update(&self.roster.to_le_bytes());
        // The length keeps the end of the team apart from the start of the key.
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

/// The text is not an owner token.
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
    // A text that differs from the token's own form in case or zeros would name the same job twice.
    (parts.next().is_none() && token.to_string() == text).then_some(token)
}
