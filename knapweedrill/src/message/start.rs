//! Starting tasks, and what became of them.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Attempt, Generation, KindName, TeamName};
use crate::contract::Class;
use crate::job::{TaskId, TaskOutcome};

/// Hands a task to a sidecar.
#[message]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Which of the owner's tokens the job came under.
    pub generation: Generation,
    /// How often the task was handed out before.
    pub attempt: Attempt,
    /// The team that the slot time is charged to.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// The kind of work.
    pub kind: KindName,
    /// How long the task is expected to run on a minion of speed 1.
    pub expected: Duration,
    /// How much of the job's deadline is left.
    pub deadline: Duration,
    /// Whether the start uses up a credit.
    pub credited: bool,
    /// What the minion is given.
    pub payload: Vec<u8>,
}

/// What became of a task that was handed to a sidecar.
#[message]
pub enum TaskReport {
    /// The task was started and has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// How it ended.
        outcome: TaskOutcome,
        /// How long it held its slot.
        run_time: Duration,
    },
    /// The attempt was not started and never will be.
    NotStarted {
        /// The task.
        task: TaskId,
        /// The attempt that was fenced.
        attempt: Attempt,
        /// Why it was not started.
        reason: NotStarted,
    },
}

/// Why a sidecar did not start an attempt.
#[message]
#[derive(Copy, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum NotStarted {
    /// No slot was free.
    NoSlot,
    /// The minion takes no new work, or cannot be reached.
    NoMinion,
    /// The job is fenced: no sidecar will start anything of it any more.
    JobFenced,
    /// The owner cancelled the job.
    Cancelled,
}
