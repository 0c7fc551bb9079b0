//! What callers ask of an entry and what they get.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{ClientKey, TeamName};
use crate::contract::OwnerToken;
use crate::job::{JobSpec, Outcome};

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
