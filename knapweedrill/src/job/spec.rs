//! What a caller asks for.

use std::time::Duration;

use knapweedrill_derive::message;

use super::TaskSpec;
use crate::common::{KindName, TeamName};
use crate::contract::Class;

/// What a caller asks for: the tasks of a job and how they are to be treated.
#[message]
pub struct JobSpec {
    /// The team that the job is for.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// The class, or that of the kind.
    pub class: Option<Class>,
    /// The time after which the caller has no use for an answer, or that of the kind.
    pub deadline: Option<Duration>,
    /// Whether running a task twice does no harm, or what the kind says.
    pub idempotent: Option<bool>,
    /// The tasks.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Returns a hash of the content, which tells a resubmission from a reuse of its key.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hash_part(&mut hasher, self.team.as_bytes());
        hash_part(&mut hasher, self.kind.as_bytes());
        for task in &self.tasks {
            hash_part(&mut hasher, &task.payload);
        }
        let mut hash = [0; 8];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(hash)
    }
}

fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
