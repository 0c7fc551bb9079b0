//! Requests of callers, and the responses to them.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{ClientKey, JobId, TeamName};
use crate::contract::OwnerToken;
use crate::job::{Failure, JobSpec, Outcome, Refusal};
use crate::message::RetainedOutcome;

/// A request of a caller about a job.
#[message]
pub enum CallerRequest {
    /// Runs the job, or attaches to it if it was submitted before.
    Submit {
        /// The owner token, which identifies the entry that owns the job.
        token: OwnerToken,
        /// The idempotency key that the caller chose for the job.
        key: ClientKey,
        /// The job.
        spec: JobSpec,
        /// How long the caller waits for the outcome before it gets
        /// [`CallerResponse::Running`].
        wait: Duration,
    },
    /// Returns the outcome of the job.
    Status {
        /// The owner token, which identifies the entry that owns the job.
        token: OwnerToken,
        /// The team that submitted the job.
        team: TeamName,
        /// The idempotency key that the caller chose for the job.
        key: ClientKey,
        /// How long the caller waits for the outcome before it gets
        /// [`CallerResponse::Running`].
        wait: Duration,
    },
    /// Cancels the job.
    Cancel {
        /// The owner token, which identifies the entry that owns the job.
        token: OwnerToken,
        /// The team that submitted the job.
        team: TeamName,
        /// The idempotency key that the caller chose for the job.
        key: ClientKey,
    },
}

/// The response to a request of a caller.
#[message]
pub enum CallerResponse {
    /// The job has ended.
    Ended {
        /// The outcome.
        outcome: Outcome,
    },
    /// The job has not ended within the wait.
    Running {
        /// The number of tasks that have ended.
        ended_count: u32,
        /// The number of tasks of the job.
        task_count: u32,
    },
    /// The key is unknown.
    Unknown,
    /// The request is invalid; no task was run.
    Invalid {
        /// A description of the invalid value and of what is allowed.
        message: String,
    },
}

impl CallerRequest {
    /// Returns the owner token of the request.
    pub fn token(&self) -> OwnerToken {
        match self {
            Self::Submit { token, .. }
            | Self::Status { token, .. }
            | Self::Cancel { token, .. } => *token,
        }
    }

    /// Returns the request without its tasks, whose payloads no response depends on.
    pub fn without_payload(&self) -> Self {
        match self {
            Self::Submit {
                token,
                key,
                spec,
                wait,
            } => Self::Submit {
                token: *token,
                key: key.clone(),
                spec: JobSpec {
                    tasks: Vec::new(),
                    team: spec.team.clone(),
                    kind: spec.kind.clone(),
                    ..*spec
                },
                wait: *wait,
            },
            request => request.clone(),
        }
    }

    /// Returns the identifier of the job, derived from the token, the team and the key.
    pub fn job_id(&self) -> JobId {
        match self {
            Self::Submit {
                token, key, spec, ..
            } => token.job_id(&spec.team, key),
            Self::Status {
                token, team, key, ..
            }
            | Self::Cancel { token, team, key } => token.job_id(team, key),
        }
    }
}

impl CallerResponse {
    /// Returns the response for a job that failed.
    pub fn failed(failure: Failure) -> Self {
        Self::Ended {
            outcome: Outcome::Failed { failure },
        }
    }

    /// Returns the response for a job of which no task was run.
    pub fn not_run(refusal: Refusal, retry_after: Option<Duration>) -> Self {
        Self::Ended {
            outcome: Outcome::NotRun {
                refusal,
                retry_after,
            },
        }
    }
}

impl From<RetainedOutcome> for CallerResponse {
    fn from(outcome: RetainedOutcome) -> Self {
        match outcome {
            RetainedOutcome::Complete { results } => Self::Ended {
                outcome: Outcome::Complete { results },
            },
            RetainedOutcome::CompleteEvicted => Self::failed(Failure::AnswerExpired),
            RetainedOutcome::Failed { failure } => Self::failed(failure),
            RetainedOutcome::NotRun {
                refusal,
                retry_after,
            } => Self::not_run(refusal, retry_after),
        }
    }
}
