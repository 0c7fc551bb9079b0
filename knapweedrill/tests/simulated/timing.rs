//! Durations of a run.

use std::ops::RangeInclusive;

/// The durations of a run, and the prefetch limit of sidecars.
#[derive(Debug, Clone)]
pub(crate) struct Timing {
    /// The run time of a task, in milliseconds.
    pub(crate) task_ms: RangeInclusive<u64>,
    /// The time until a closed session reopens, in milliseconds.
    pub(crate) outage_ms: RangeInclusive<u64>,
    /// The time until an end detects that a session closed, in milliseconds.
    pub(crate) detection_ms: RangeInclusive<u64>,
    /// The number of accepted tasks that may wait at a sidecar.
    pub(crate) prefetch_count: u32,
}
