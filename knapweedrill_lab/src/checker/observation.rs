//! Observations that can be made from outside the system.

use knapweedrill::common::{Attempt, ClientKey, Incarnation, ProcessName, TaskIndex, TeamName};
use knapweedrill::contract::{ConfigurationVersion, OwnerToken};
use knapweedrill::job::TaskId;
use knapweedrill_derive::value;

use crate::harness::{JobOutcome, JobResponse};

/// Identifies a group of applies that race each other.
pub type RaceId = u32;

/// A submission of a job, or a resubmission of it, and its answer.
///
/// Within a history, a team uses an idempotency key for one request only, under any token.
#[value]
pub struct Submission {
    /// The token that the caller sent.
    pub token: OwnerToken,
    /// The team that submits the job.
    pub team: TeamName,
    /// The caller's idempotency key.
    pub key: ClientKey,
    /// Whether the request is marked as idempotent.
    pub is_idempotent: bool,
    /// The text that each task is expected to echo.
    pub echoes: Vec<String>,
    /// The entry that the caller called.
    pub entry: ProcessName,
    /// The time of the submission, in microseconds since the Unix epoch.
    pub submitted_us: u64,
    /// The time of the answer, or of giving up on it, in microseconds since the Unix epoch.
    pub answered_us: u64,
    /// The answer as the caller saw it.
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

    /// Returns whether the caller waited for the answer at a time.
    ///
    /// `at_us` is in microseconds since the Unix epoch.
    pub fn is_in_flight_at(&self, at_us: u64) -> bool {
        self.submitted_us < at_us && at_us <= self.answered_us
    }
}

/// The answer to a submission, as the caller saw it.
#[value]
pub enum CallerAnswer {
    /// A well-formed answer.
    Answered(JobResponse),
    /// No answer: the connection broke or the caller gave up.
    Unanswered,
    /// A response body that is not an answer of the API.
    Malformed(String),
}

impl CallerAnswer {
    /// Returns the outcome of a well-formed answer.
    pub fn outcome(&self) -> Option<JobOutcome> {
        match self {
            Self::Answered(answer) => Some(answer.outcome),
            Self::Unanswered | Self::Malformed(_) => None,
        }
    }

    /// Returns the reason of a well-formed answer, if it gives one.
    pub fn reason(&self) -> Option<&str> {
        match self {
            Self::Answered(answer) => answer.reason.as_deref(),
            Self::Unanswered | Self::Malformed(_) => None,
        }
    }
}

/// A start of a task, as its minion recorded it.
#[value]
pub struct MinionStart {
    /// The minion; a name identifies one run of its process.
    pub minion: ProcessName,
    /// The task that started.
    pub task: TaskId,
    /// The attempt of the task, counted from 0.
    pub attempt: Attempt,
    /// The time of the start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The time of the end, in microseconds since the Unix epoch; `None` if it still runs.
    pub end_us: Option<u64>,
}

/// The announcement of a minion that it leaves.
#[value]
pub struct Departure {
    /// The minion that leaves.
    pub minion: ProcessName,
    /// The time of the first announcement, in microseconds since the Unix epoch.
    pub announced_us: u64,
}

/// A planned stop of a process of the system.
#[value]
pub struct PlannedStop {
    /// The name of the process.
    pub process: ProcessName,
    /// The incarnation, which identifies one run of the process.
    pub incarnation: Incarnation,
    /// The minion of the sidecar; `None` if the process is not a sidecar.
    pub minion: Option<ProcessName>,
    /// The time of the request to stop, in microseconds since the Unix epoch.
    pub requested_us: u64,
}

/// The outcome of an apply, as its operator observed it.
#[value]
#[derive(Copy)]
pub enum ApplyOutcome {
    /// The configuration was accepted as this version.
    Accepted(ConfigurationVersion),
    /// The configuration was refused.
    Refused,
    /// No answer came, so the configuration may be accepted or not.
    Unknown,
}

/// An attempt of an operator to apply a configuration.
#[value]
pub struct Apply {
    /// The race that it takes part in; all applies of a race are based on the same parent version.
    pub race: Option<RaceId>,
    /// The time of the answer, in microseconds since the Unix epoch.
    pub answered_us: u64,
    /// The outcome of the apply.
    pub outcome: ApplyOutcome,
}

/// A configuration version that a process reported to have in force.
#[value]
pub struct ConfigurationObservation {
    /// The name of the process.
    pub process: ProcessName,
    /// The incarnation, which identifies one run of the process.
    pub incarnation: Incarnation,
    /// The version in force.
    pub version: ConfigurationVersion,
    /// The time of the report, in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// A period in which a run of a process was neither frozen nor partitioned from the others.
#[value]
pub struct Availability {
    /// The name of the process.
    pub process: ProcessName,
    /// The incarnation, which identifies one run of the process.
    pub incarnation: Incarnation,
    /// The start of the period, in microseconds since the Unix epoch.
    pub from_us: u64,
    /// The end of the period, in microseconds since the Unix epoch.
    pub until_us: u64,
}
