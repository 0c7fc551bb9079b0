//! Job submissions and their reports.

use std::time::Duration;

use knapweedrill::api::JobResponse;
use knapweedrill::common::ClientKey;
use knapweedrill::contract::OwnerToken;
use knapweedrill::job::JobSpec;

/// A job to submit, with its identity and the time to wait for it.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The idempotency key of the job, unique within the team and the token.
    pub key: ClientKey,
    /// The owner token of an earlier attempt, or `None` to obtain a new one.
    pub token: Option<OwnerToken>,
    /// The content of the job.
    pub spec: JobSpec,
    /// The longest time to wait for the outcome.
    pub wait: Duration,
}

/// The last answer to a submission and the attempts that it took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobReport {
    /// The owner token of the last attempt.
    pub token: OwnerToken,
    /// The answer to the last attempt.
    pub answer: JobResponse,
    /// The number of attempts, including failed ones.
    pub attempt_count: u32,
}
