//! Violations of the rules.

use knapweedrill::common::{ClientKey, Incarnation, JobId, ProcessName, TaskIndex, TeamName};
use knapweedrill::contract::ConfigurationVersion;
use knapweedrill_derive::value;

use super::RaceId;

/// An observation that contradicts a rule.
#[value]
#[derive(thiserror::Error)]
pub enum Violation {
    /// A task started more than once.
    #[error("task {index} of job {job:032x} started {start_count} times")]
    StartedTwice {
        /// The job.
        job: JobId,
        /// The index of the task in the job.
        index: TaskIndex,
        /// The number of starts.
        start_count: usize,
    },
    /// An answer has the results of some tasks only, or has results but another outcome.
    #[error("job {job:032x}: {result_count} results, expected {task_count}")]
    PartialAnswer {
        /// The job.
        job: JobId,
        /// The number of results in the answer.
        result_count: usize,
        /// The expected number: that of the tasks if the job is complete, otherwise 0.
        task_count: usize,
    },
    /// An answer has a result that doesn't belong to the caller's task.
    #[error("job {job:032x}: result of task {index} is '{result}', which is not that of the task")]
    MismatchedResult {
        /// The job.
        job: JobId,
        /// The index of the task in the job.
        index: TaskIndex,
        /// The result in the answer.
        result: String,
    },
    /// A response is not an answer of the API.
    #[error("job {job:032x}: malformed answer '{text}'")]
    MalformedAnswer {
        /// The job.
        job: JobId,
        /// The body of the response.
        text: String,
    },
    /// A job was answered as not run, but a task of it started.
    #[error("job {job:032x} was answered as not run, but a task started at {start_us} us")]
    StartedDespiteNotRun {
        /// The job.
        job: JobId,
        /// The time of the start, in microseconds since the Unix epoch.
        start_us: u64,
    },
    /// A task of a non-idempotent request started more than once, counted over all tokens.
    #[error("non-idempotent task {index} of {team}/{key} started {start_count} times")]
    NonIdempotentStartedTwice {
        /// The team.
        team: TeamName,
        /// The caller's idempotency key.
        key: ClientKey,
        /// The index of the task in the job.
        index: TaskIndex,
        /// The number of starts.
        start_count: usize,
    },
    /// A task started on a leaving minion after the allowed time.
    #[error("{minion} started a task {after_us} us after it announced that it leaves")]
    StartedWhileLeaving {
        /// The minion.
        minion: ProcessName,
        /// The time from the announcement to the start, in microseconds.
        after_us: u64,
    },
    /// A planned stop interrupted a request in flight.
    #[error("the planned stop of {process} interrupted job {job:032x}")]
    InterruptedByPlannedStop {
        /// The process that stopped.
        process: ProcessName,
        /// The job.
        job: JobId,
    },
    /// A process did not have an accepted configuration in force within the allowed time.
    #[error("{process} did not have version {version} in force in time")]
    ConfigurationLate {
        /// The process.
        process: ProcessName,
        /// The accepted version.
        version: ConfigurationVersion,
    },
    /// A process reverted to an older configuration.
    #[error("{process} reverted from version {from} to {to}")]
    ConfigurationReverted {
        /// The process.
        process: ProcessName,
        /// The incarnation, which identifies one run of the process.
        incarnation: Incarnation,
        /// The version that was in force before.
        from: ConfigurationVersion,
        /// The older version that came into force.
        to: ConfigurationVersion,
    },
    /// Not exactly one of several racing applies was accepted.
    #[error("race {race} has {winner_count} accepted applies, expected 1")]
    RaceWithoutOneWinner {
        /// The identifier of the race.
        race: RaceId,
        /// The number of accepted applies.
        winner_count: usize,
    },
}
