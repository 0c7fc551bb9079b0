//! What became of a planned job.

use std::time::Duration;

use knapweedrill_derive::value;

use crate::checker::Submission;

/// What became of a planned job.
#[value]
pub(super) struct ObservedJob {
    /// The number of the job in its plan.
    pub(super) number: usize,
    /// How long after its planned time a caller took it up.
    pub(super) late: Duration,
    /// The time from when it was due to its answer.
    pub(super) response: Duration,
    /// What its caller saw.
    pub(super) submission: Submission,
}
