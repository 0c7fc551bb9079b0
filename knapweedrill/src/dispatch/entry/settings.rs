//! Settings of an entry.

use std::time::Duration;

use crate::dispatch::RunTiming;

/// Times and bounds of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntrySettings {
    /// How long after the last stamp of a sidecar that this entry may have echoed a task there
    /// can still run; see [`RunTiming`].
    pub orphan_run_max: Duration,
    /// The pause before a caller hands a job in again after a failure.
    pub resubmission_delay: Duration,
    /// How long before the end of a caller's patience the answer has to leave.
    pub answer_margin: Duration,
    /// How many times its objective a job may take before it is of no use.
    pub objective_multiple_max: u32,
    /// How long answers are kept for requests that repeat themselves.
    pub answer_retention: Duration,
    /// The pause between two probes of a suspect minion by one entry.
    pub probe_interval: Duration,
    /// What the random choice among equal minions starts from.
    pub seed: u64,
}

impl EntrySettings {
    /// Creates settings for callers that pause for `resubmission` before they hand a job in again.
    pub fn new(timing: RunTiming, resubmission_delay: Duration) -> Self {
        Self {
            orphan_run_max: timing.doubt(),
            resubmission_delay,
            answer_margin: Duration::from_millis(40),
            objective_multiple_max: 3,
            answer_retention: Duration::from_secs(5),
            probe_interval: Duration::from_millis(500),
            seed: 1,
        }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self::new(RunTiming::default(), Duration::from_millis(1_300))
    }
}
