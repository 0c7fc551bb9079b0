//! A job to submit and what became of it.

use std::time::Duration;

use knapweedrill::api::JobAnswer;
use knapweedrill::common::ClientKey;
use knapweedrill::contract::OwnerToken;
use knapweedrill::job::JobSpec;

/// A job to submit.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The key of the job, unique within the team and the token.
    pub key: ClientKey,
    /// The token of an earlier try, if there was one.
    pub token: Option<OwnerToken>,
    /// The job.
    pub spec: JobSpec,
    /// How long to wait for the outcome.
    pub wait: Duration,
}

/// What became of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobReport {
    /// The token under which the job was submitted last.
    pub token: OwnerToken,
    /// The answer.
    pub answer: JobAnswer,
    /// How many submissions were sent, with those that failed.
    pub attempt_count: u32,
}
