//! The configuration of dispatch: how requests map to queues, and queues to services.

use std::time::Duration;

use knapweedrill_derive::message;

use super::QueueTag;
use crate::common::ServiceName;

/// The version of a configuration. Versions rise, not necessarily by 1.
pub type Version = u64;

/// The configuration that the operator sets for all entries.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// The version of this configuration.
    pub version: Version,
    /// The queues, in the order in which the operator lists them.
    pub queues: Vec<Queue>,
    /// The maximum size of a request body, in bytes.
    pub body_bytes_max: u32,
}

/// A queue of requests, selected by host and path.
#[message]
pub struct Queue {
    /// The name that the operator gave to the queue.
    pub name: String,
    /// The host of the requests; upper and lower case are the same.
    pub host: String,
    /// The prefix of the path of the requests.
    pub path_prefix: String,
    /// The service whose minions run the tasks.
    pub service: ServiceName,
    /// The scheduling policy for the jobs of the queue.
    pub policy: QueuePolicy,
    /// Whether an external policy chooses the minions of the queue.
    pub has_advice: bool,
}

/// Priority, attempts and latency objective of the jobs of a queue.
#[message]
#[derive(Copy)]
pub struct QueuePolicy {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The number of failures of one task at which its job fails.
    pub attempt_count_max: u32,
    /// The factor on the longest chain of work in the latency objective, in thousandths.
    pub stretch_permille: u32,
    /// The constant part of the latency objective.
    pub target_latency: Duration,
}

impl Queue {
    /// Returns the tag that identifies the queue in messages.
    pub fn tag(&self) -> QueueTag {
        let mut bytes = [0; 4];
        blake3::Hasher::new()
            .update(self.name.as_bytes())
            .finalize_xof()
            .fill(&mut bytes);
        QueueTag::from_le_bytes(bytes)
    }
}

impl QueuePolicy {
    /// Returns the latency objective of a job whose longest chain of work takes `longest`.
    pub fn objective(&self, longest: Duration) -> Duration {
        longest * self.stretch_permille / 1_000 + self.target_latency
    }
}

impl Configuration {
    /// Returns the queue of a request: of those for its host, the one with the longest matching
    /// path prefix.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}
