//! The settings of an entry.

use std::time::Duration;

use knapweedrill_derive::value;

use super::placer::PlacementPolicy;

/// The settings of an entry.
#[value]
pub struct EntrySettings {
    pub(super) token_rotation_interval: Duration,
    pub(super) key_retention: Duration,
    pub(super) answer_bytes_max: usize,
    pub(super) key_count_max: usize,
    pub(super) shutdown_deadline: Duration,
    pub(super) owner_grace: Duration,
    pub(super) fence_timeout: Duration,
    pub(super) sidecar_grace: Duration,
    pub(super) placement: PlacementPolicy,
    pub(super) seed: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            token_rotation_interval: Duration::from_secs(60),
            key_retention: Duration::from_secs(300),
            answer_bytes_max: 32 << 20,
            key_count_max: 1_000_000,
            shutdown_deadline: Duration::from_secs(20),
            owner_grace: Duration::from_secs(2),
            fence_timeout: Duration::from_secs(2),
            sidecar_grace: Duration::from_secs(5),
            placement: PlacementPolicy::default(),
            seed: 0,
        }
    }
}

/// Settings of job ownership.
impl EntrySettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long an owner token is issued before a new generation starts.
    #[must_use]
    pub fn token_rotation_interval(mut self, duration: Duration) -> Self {
        self.token_rotation_interval = duration;
        self
    }

    /// Sets how long keys are retained after the last use of their generation.
    #[must_use]
    pub fn key_retention(mut self, duration: Duration) -> Self {
        self.key_retention = duration;
        self
    }

    /// Sets the maximum size of the retained answers, in bytes.
    #[must_use]
    pub fn answer_bytes_max(mut self, byte_count: usize) -> Self {
        self.answer_bytes_max = byte_count;
        self
    }

    /// Sets the maximum number of retained keys.
    #[must_use]
    pub fn key_count_max(mut self, count: usize) -> Self {
        self.key_count_max = count;
        self
    }
}

/// Settings of time limits.
impl EntrySettings {
    /// Sets how long a planned stop waits for live jobs and the hand-over of keys.
    #[must_use]
    pub fn shutdown_deadline(mut self, duration: Duration) -> Self {
        self.shutdown_deadline = duration;
        self
    }

    /// Sets how long a request waits for an unreachable owner before its job is fenced.
    #[must_use]
    pub fn owner_grace(mut self, duration: Duration) -> Self {
        self.owner_grace = duration;
        self
    }

    /// Sets how long sidecars have to respond to a fence.
    #[must_use]
    pub fn fence_timeout(mut self, duration: Duration) -> Self {
        self.fence_timeout = duration;
        self
    }

    /// Sets how long an unreachable sidecar has to reconnect before its tasks count as lost.
    #[must_use]
    pub fn sidecar_grace(mut self, duration: Duration) -> Self {
        self.sidecar_grace = duration;
        self
    }
}

/// Settings of placement.
impl EntrySettings {
    /// Sets the policy that chooses the minion of a task.
    #[must_use]
    pub fn placement(mut self, policy: PlacementPolicy) -> Self {
        self.placement = policy;
        self
    }

    /// Sets the seed of the random number generators.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
