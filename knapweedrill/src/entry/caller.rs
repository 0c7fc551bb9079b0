//! What callers ask of an entry and what they get.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{ClientKey, JobId, TeamName};
use crate::contract::OwnerToken;
use crate::job::{Failure, JobSpec, Outcome, Refusal};
use crate::message::RetainedOutcome;

/// What a caller asks about a job.
#[message]
pub enum CallerRequest {
    /// Run the job, or attach to it if it was submitted before.
    Submit {
        /// The token that names the owner.
        token: OwnerToken,
        /// The caller's key.
        key: ClientKey,
        /// The job.
        spec: JobSpec,
        /// How long the caller waits for the outcome.
        wait: Duration,
    },
    /// Tell the outcome of the job.
    Status {
        /// The token that names the owner.
        token: OwnerToken,
        /// The team.
        team: TeamName,
        /// The caller's key.
        key: ClientKey,
        /// How long the caller waits for the outcome.
        wait: Duration,
    },
    /// Cancel the job.
    Cancel {
        /// The token that names the owner.
        token: OwnerToken,
        /// The team.
        team: TeamName,
        /// The caller's key.
        key: ClientKey,
    },
}

/// What a caller gets.
#[message]
pub enum CallerResponse {
    /// The job has ended.
    Ended {
        /// How.
        outcome: Outcome,
    },
    /// The job goes on.
    Running {
        /// How many of its tasks have ended.
        ended_count: u32,
        /// How many tasks it has.
        task_count: u32,
    },
    /// The owner does not know the key.
    Unknown,
    /// The request is malformed; nothing was run.
    Invalid {
        /// What is wrong and what is allowed.
        message: String,
    },
}

impl CallerRequest {
    /// Returns the token that the request carries.
    pub fn token(&self) -> OwnerToken {
        match self {
            Self::Submit { token, .. }
            | Self::Status { token, .. }
            | Self::Cancel { token, .. } => *token,
        }
    }

    /// Returns the request without its payloads, on which no answer depends.
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

    /// Returns the identifier of the job that the request is about.
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
    /// Returns the response that tells a failure.
    pub fn failed(failure: Failure) -> Self {
        Self::Ended {
            outcome: Outcome::Failed { failure },
        }
    }

    /// Returns the response that tells that nothing was run.
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
    fn from(state: RetainedOutcome) -> Self {
        match state {
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
