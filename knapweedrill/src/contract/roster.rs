//! Digests of sidecar sets.

use crate::common::{Incarnation, RosterDigest};

/// Returns the digest of a set of sidecar incarnations; order and duplicates do not matter.
pub fn roster_digest(sidecars: impl IntoIterator<Item = Incarnation>) -> RosterDigest {
    let mut members: Vec<Incarnation> = sidecars.into_iter().collect();
    members.sort_unstable();
    members.dedup();
    let mut hasher = blake3::Hasher::new();
    for member in members {
        hasher.update(&member.to_le_bytes());
    }
    let mut digest = [0; 8];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    RosterDigest::from_le_bytes(digest)
}
