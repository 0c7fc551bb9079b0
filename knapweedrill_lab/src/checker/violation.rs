//! What a history shows that must not be.

use knapweedrill::common::{ClientKey, Incarnation, JobId, ProcessName, TaskIndex, TeamName};
use knapweedrill::contract::ConfigurationVersion;
use knapweedrill_derive::value;

use super::RaceNumber;

/// What a history shows that must not be.
#[value]
#[derive(thiserror::Error)]
pub enum Violation {
    /// A task started more than once.
    #[error("task {index} of job {job:032x} started {start_count} times")]
    StartedTwice {
        /// The job.
        job: JobId,
        /// The task.
        index: TaskIndex,
        /// How often it started.
        start_count: usize,
    },
    /// An answer has results of some tasks only, or results beside another outcome.
    #[error("job {job:032x}: {result_count} results for {task_count} tasks")]
    PartialAnswer {
        /// The job.
        job: JobId,
        /// How many results the answer has.
        result_count: usize,
        /// How many it should have: all, or none.
        task_count: usize,
    },
    /// An answer has a result that is not the caller's own.
    #[error("job {job:032x}: result {index} is '{result}'")]
    ForeignResult {
        /// The job.
        job: JobId,
        /// The task.
        index: TaskIndex,
        /// What came instead.
        result: String,
    },
    /// An answer is none of the API.
    #[error("job {job:032x}: malformed answer '{text}'")]
    MalformedAnswer {
        /// The job.
        job: JobId,
        /// What came instead.
        text: String,
    },
    /// A job was said not to have run, and a task of it started.
    #[error("job {job:032x} was said not to have run and started at {start_us} us")]
    FalseNotRun {
        /// The job.
        job: JobId,
        /// When a task started, in microseconds since the Unix epoch.
        start_us: u64,
    },
    /// A non-idempotent task ran more than once, counted over all tokens.
    #[error("non-idempotent task {index} of {team}/{key} started {start_count} times")]
    NonIdempotentTwice {
        /// The team.
        team: TeamName,
        /// The caller's key.
        key: ClientKey,
        /// The task.
        index: TaskIndex,
        /// How often it started.
        start_count: usize,
    },
    /// A task started at a minion that was leaving.
    #[error("{minion} got a task {after_us} us after it announced that it leaves")]
    StartedWhileLeaving {
        /// The minion.
        minion: ProcessName,
        /// How long after the announcement, in microseconds.
        after_us: u64,
    },
    /// A planned stop cut a request off.
    #[error("the planned stop of {process} cut job {job:032x}")]
    CutByPlannedStop {
        /// The process that stopped.
        process: ProcessName,
        /// The job.
        job: JobId,
    },
    /// A process did not have an accepted configuration in force in time.
    #[error("{process} did not have version {version} in force in time")]
    ConfigurationLate {
        /// The process.
        process: ProcessName,
        /// The version.
        version: ConfigurationVersion,
    },
    /// A process went back to an older configuration.
    #[error("{process} went from version {from} to {to}")]
    ConfigurationReverted {
        /// The process.
        process: ProcessName,
        /// The run of the process.
        incarnation: Incarnation,
        /// The version it had.
        from: ConfigurationVersion,
        /// The version it had later.
        to: ConfigurationVersion,
    },
    /// Not exactly one of several racing applies was accepted.
    #[error("race {race} has {winner_count} winners")]
    RaceWithoutOneWinner {
        /// The race.
        race: RaceNumber,
        /// How many were accepted.
        winner_count: usize,
    },
}
