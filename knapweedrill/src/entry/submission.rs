//! A job that a caller submits.

use std::time::Duration;

use knapweedrill_derive::value;

use super::Requester;
use crate::common::JobId;
use crate::contract::OwnerToken;
use crate::job::JobSpec;

/// A job that a caller submits, with what was worked out of it.
#[value]
pub(super) struct Submission {
    pub(super) requester: Requester,
    pub(super) token: OwnerToken,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    /// The hash of the content, which tells a resubmission from a reuse of the key.
    pub(super) content_hash: u64,
    pub(super) wait: Duration,
}
