//! Settling what a broken session or a lost owner left open.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Attempt, Generation, Incarnation, JobId};
use crate::job::{TaskId, TaskOutcome};

/// A task that was handed out on a session that broke.
#[message]
#[derive(Copy)]
pub struct TaskInDoubt {
    /// The task.
    pub task: TaskId,
    /// Which of the owner's tokens the job came under.
    pub generation: Generation,
    /// The attempt that is in doubt.
    pub attempt: Attempt,
}

/// What a sidecar knows of a task in doubt.
#[message]
pub struct TaskVerdict {
    /// The task.
    pub task: TaskId,
    /// The attempt asked about.
    pub attempt: Attempt,
    /// What became of it.
    pub verdict: Verdict,
}

/// What became of an attempt.
#[message]
pub enum Verdict {
    /// The attempt runs or is about to; a report follows.
    Running,
    /// The attempt has ended.
    Ended {
        /// How it ended.
        outcome: TaskOutcome,
        /// How long it held its slot.
        run_time: Duration,
    },
    /// The attempt was never started and is fenced.
    NeverStarted,
    /// The sidecar no longer knows; the attempt may have run.
    Forgotten,
}

/// What a sidecar knows of a job whose owner is out of reach.
#[message]
#[derive(Copy)]
pub struct FenceReport {
    /// The sidecar that answers.
    pub sidecar: Incarnation,
    /// The job, of which nothing more will be started here.
    pub job: JobId,
    /// Whether any of its tasks was started here, or may have been before the sidecar's memory begins.
    pub may_have_started: bool,
}
