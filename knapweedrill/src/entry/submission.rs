//! Job submissions.

use std::time::Duration;

use knapweedrill_derive::value;

use super::Requester;
use crate::common::JobId;
use crate::contract::OwnerToken;
use crate::job::JobSpec;

/// A job that a caller submits, with the values that are derived from the request.
#[value]
pub(super) struct Submission {
    pub(super) requester: Requester,
    pub(super) token: OwnerToken,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    /// Distinguishes a resubmission of the same job from a reuse of its key for another one.
    pub(super) content_hash: u64,
    pub(super) wait: Duration,
}
