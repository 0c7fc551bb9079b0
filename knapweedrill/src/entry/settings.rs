//! The settings of an entry.

use std::time::Duration;

use knapweedrill_derive::value;

use super::placement::PlacementPolicy;

/// The settings of an entry.
#[value]
pub struct EntrySettings {
    pub(super) generation: Duration,
    pub(super) kept_keys: Duration,
    pub(super) answer_bytes: usize,
    pub(super) key_count: usize,
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
            generation: Duration::from_secs(60),
            kept_keys: Duration::from_secs(300),
            answer_bytes: 32 << 20,
            key_count: 1_000_000,
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

    /// Sets how long an owner token is handed out before a new one is minted.
    #[must_use]
    pub fn generation(mut self, time: Duration) -> Self {
        self.generation = time;
        self
    }

    /// Sets how long keys are kept after their token was superseded.
    #[must_use]
    pub fn kept_keys(mut self, time: Duration) -> Self {
        self.kept_keys = time;
        self
    }

    /// Sets how many bytes of answers are kept.
    #[must_use]
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets how many keys are kept at the most.
    #[must_use]
    pub fn key_count(mut self, count: usize) -> Self {
        self.key_count = count;
        self
    }
}

/// Settings of time limits.
impl EntrySettings {
    /// Sets how long a planned stop waits for jobs in flight.
    #[must_use]
    pub fn shutdown_deadline(mut self, time: Duration) -> Self {
        self.shutdown_deadline = time;
        self
    }

    /// Sets how long a request waits for an owner that is out of reach.
    #[must_use]
    pub fn owner_grace(mut self, time: Duration) -> Self {
        self.owner_grace = time;
        self
    }

    /// Sets how long sidecars have to answer a fence.
    #[must_use]
    pub fn fence_timeout(mut self, time: Duration) -> Self {
        self.fence_timeout = time;
        self
    }

    /// Sets how long tasks in doubt wait for a sidecar that is out of reach.
    #[must_use]
    pub fn sidecar_grace(mut self, time: Duration) -> Self {
        self.sidecar_grace = time;
        self
    }
}

/// Settings of placement.
impl EntrySettings {
    /// Sets how a task's minion is chosen.
    #[must_use]
    pub fn placement(mut self, policy: PlacementPolicy) -> Self {
        self.placement = policy;
        self
    }

    /// Sets the seed of random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
