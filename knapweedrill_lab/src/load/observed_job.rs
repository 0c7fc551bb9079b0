//! The observed outcome of a planned job.

use std::time::Duration;

use knapweedrill_derive::value;

use crate::checker::Submission;

/// The observed outcome of a planned job.
#[value]
pub(super) struct ObservedJob {
    /// The index of the job in its plan.
    pub(super) number: usize,
    /// The time from when the job was due until a caller thread picked it up.
    pub(super) pickup_delay: Duration,
    /// The time from when the job was due until its answer.
    pub(super) response_time: Duration,
    /// The submission and its answer, as the caller observed them.
    pub(super) submission: Submission,
}
