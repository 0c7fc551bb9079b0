//! The configuration of dispatch: which queue takes a request, and who runs its tasks.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::ServiceName;

/// The version of a configuration; versions rise in uneven steps.
pub type Version = u64;

/// All that the operator decides.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// The version.
    pub version: Version,
    /// The queues, in the operator's order.
    pub queues: Vec<Queue>,
    /// The largest body that is taken, in bytes.
    pub body_bytes_max: u32,
}

/// Where requests wait, chosen by host and path.
#[message]
pub struct Queue {
    /// The operator's name for it.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with.
    pub path_prefix: String,
    /// The service whose minions run the tasks.
    pub service: ServiceName,
    /// How its jobs are treated.
    pub terms: Terms,
    /// Whether the queue's minions are chosen by an outside policy.
    pub has_advice: bool,
}

/// How the jobs of a queue are treated.
#[message]
#[derive(Copy)]
pub struct Terms {
    /// The urgency; 0 comes first.
    pub priority: u8,
    /// How often a task may fail.
    pub attempt_count_max: u32,
    /// The factor on the longest task that the objective allows, in thousandths.
    pub stretch_permille: u32,
    /// What the objective allows on top.
    pub target_latency: Duration,
}

impl Terms {
    /// Returns how long a job may take whose longest chain of work takes `longest`.
    pub fn objective(&self, longest: Duration) -> Duration {
        longest * self.stretch_permille / 1_000 + self.target_latency
    }
}

impl Configuration {
    /// Returns the queue of a request: that of its host with the longest prefix of its path.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}
