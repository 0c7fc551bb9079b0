//! What can be observed from outside the system.

use knapweedrill::common::{Attempt, ClientKey, Incarnation, ProcessName, TaskIndex, TeamName};
use knapweedrill::contract::{ConfigurationVersion, OwnerToken};
use knapweedrill::job::TaskId;
use knapweedrill_derive::value;

use crate::harness::{JobAnswer, JobOutcome};

/// Numbers the groups of applies that race each other.
pub type RaceNumber = u32;

/// A submission of a job, the first or a repeated one, and its answer.
///
/// Within a history a team uses a key for one request only, whatever the token.
#[value]
pub struct Submission {
    /// The token that the caller sent.
    pub token: OwnerToken,
    /// The team.
    pub team: TeamName,
    /// The caller's key.
    pub key: ClientKey,
    /// Whether the request is marked as idempotent.
    pub is_idempotent: bool,
    /// What each task is to echo.
    pub echoes: Vec<String>,
    /// The entry that the caller called.
    pub entry: ProcessName,
    /// When the caller sent it, in microseconds since the Unix epoch.
    pub submitted_us: u64,
    /// When the caller had the answer or gave up, in microseconds since the Unix epoch.
    pub answered_us: u64,
    /// The answer.
    pub answer: CallerAnswer,
}

impl Submission {
    /// Returns the identifier of a task of the job.
    pub fn task_id(&self, index: TaskIndex) -> TaskId {
        TaskId {
            owner: self.token.incarnation,
            job: self.token.job_id(&self.team, &self.key),
            index,
        }
    }

    /// Returns whether the caller waited for the answer at that time.
    pub fn is_in_flight_at(&self, at_us: u64) -> bool {
        self.submitted_us < at_us && at_us <= self.answered_us
    }
}

/// The answer that a caller got.
#[value]
pub enum CallerAnswer {
    /// An answer of the API.
    Answered(JobAnswer),
    /// The connection broke or the caller gave up.
    Unanswered,
    /// Something else than an answer of the API.
    Malformed(String),
}

impl CallerAnswer {
    /// Returns the outcome, if there is one.
    pub fn outcome(&self) -> Option<JobOutcome> {
        match self {
            Self::Answered(answer) => Some(answer.outcome),
            Self::Unanswered | Self::Malformed(_) => None,
        }
    }

    /// Returns the reason, if there is one.
    pub fn reason(&self) -> Option<&str> {
        match self {
            Self::Answered(answer) => answer.reason.as_deref(),
            Self::Unanswered | Self::Malformed(_) => None,
        }
    }
}

/// A start of a task, as the minion saw it.
#[value]
pub struct MinionStart {
    /// The minion; a name stands for one run of its process.
    pub minion: ProcessName,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub end_us: Option<u64>,
}

/// The announcement of a minion that it leaves.
#[value]
pub struct Departure {
    /// The minion.
    pub minion: ProcessName,
    /// When it first announced it, in microseconds since the Unix epoch.
    pub announced_us: u64,
}

/// A planned stop of a process of the system.
#[value]
pub struct PlannedStop {
    /// The name of the process.
    pub process: ProcessName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The minion beside it, if the process is a sidecar.
    pub minion: Option<ProcessName>,
    /// When the process was asked to stop, in microseconds since the Unix epoch.
    pub begun_us: u64,
}

/// The outcome of an apply, as its operator saw it.
#[value]
#[derive(Copy)]
pub enum ApplyOutcome {
    /// The configuration was accepted as this version.
    Accepted(ConfigurationVersion),
    /// It was refused.
    Refused,
    /// No answer told.
    Unknown,
}

/// An apply of a configuration.
#[value]
pub struct Apply {
    /// The group of racing applies that it is part of; all of them saw the same parent.
    pub race: Option<RaceNumber>,
    /// When the operator had the answer, in microseconds since the Unix epoch.
    pub answered_us: u64,
    /// The outcome.
    pub outcome: ApplyOutcome,
}

/// A version that a process said it had in force.
#[value]
pub struct ConfigurationSighting {
    /// The name of the process.
    pub process: ProcessName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The version.
    pub version: ConfigurationVersion,
    /// When it said so, in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// A span in which a run of a process was neither frozen nor cut off from the others.
#[value]
pub struct Availability {
    /// The name of the process.
    pub process: ProcessName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The start of the span, in microseconds since the Unix epoch.
    pub from_us: u64,
    /// The end of the span, in microseconds since the Unix epoch.
    pub until_us: u64,
}
