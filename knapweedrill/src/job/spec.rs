//! The specification of a job.

use std::time::Duration;

use knapweedrill_derive::message;

use super::TaskSpec;
use crate::common::{KindName, TeamName};
use crate::contract::Class;

/// The specification of a job, as submitted by a caller.
#[message]
pub struct JobSpec {
    /// The team whose share the job uses.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// The priority class; defaults to that of the kind.
    pub class: Option<Class>,
    /// The time after which the caller no longer needs the outcome; defaults to that of the kind.
    pub deadline: Option<Duration>,
    /// Whether tasks may be run more than once; defaults to the setting of the kind.
    pub idempotent: Option<bool>,
    /// The tasks; the results are returned in the same order.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Returns a hash of team, kind and payloads.
    ///
    /// It distinguishes a resubmission of a job from another job with the same idempotency key.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hash_length_prefixed(&mut hasher, self.team.as_bytes());
        hash_length_prefixed(&mut hasher, self.kind.as_bytes());
        for task in &self.tasks {
            hash_length_prefixed(&mut hasher, &task.payload);
        }
        let mut hash = [0; 8];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(hash)
    }
}

fn hash_length_prefixed(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}
