//! How long things take in a run.

use std::ops::RangeInclusive;

/// How long things take in a run, and how much sidecars accept ahead.
#[derive(Debug, Clone)]
pub(crate) struct Timing {
    /// How long a task runs, in milliseconds.
    pub(crate) task_ms: RangeInclusive<u64>,
    /// How long a broken session stays away, in milliseconds.
    pub(crate) outage_ms: RangeInclusive<u64>,
    /// How long an end takes to learn that a session broke, in milliseconds.
    pub(crate) notice_ms: RangeInclusive<u64>,
    /// How many accepted tasks may wait at a sidecar.
    pub(crate) prefetch_count: u32,
}
