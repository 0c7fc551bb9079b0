//! Settings of an entry.

use std::time::Duration;

/// Times and bounds of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntrySettings {
    /// How long after the last stamp of a sidecar that this entry may have echoed a task there
    /// can still run: the silence after which the sidecar stops it, the lease of the minion with
    /// the drift of its clock, the time to stop, and a margin.
    pub doubt: Duration,
    /// The pause before a caller hands a job in again after a failure.
    pub resubmission: Duration,
    /// How long before the end of a caller's patience the answer has to leave.
    pub answer_margin: Duration,
    /// How many times its objective a job may take before it is of no use.
    pub useful_factor: u32,
    /// How long answers are kept for requests that repeat themselves.
    pub answers_kept: Duration,
    /// The pause between two probes of a suspect minion by one entry.
    pub probe_every: Duration,
    /// What the random choice among equal minions starts from.
    pub seed: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            doubt: Duration::from_millis(600 + 561 + 50 + 89),
            resubmission: Duration::from_millis(1_300),
            answer_margin: Duration::from_millis(40),
            useful_factor: 3,
            answers_kept: Duration::from_secs(5),
            probe_every: Duration::from_millis(500),
            seed: 1,
        }
    }
}
