//! Starts of tasks, and reports on them.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Attempt, Generation, KindName, TeamName};
use crate::contract::Class;
use crate::job::{TaskId, TaskOutcome};

/// Requests a sidecar to start a task.
#[message]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The generation of the owner token that the job was submitted under.
    pub generation: Generation,
    /// How many times the task was dispatched before.
    pub attempt: Attempt,
    /// The team that the slot time is charged to.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// The kind of work that the job names.
    pub kind: KindName,
    /// The expected run time on a minion of speed 1.
    pub expected_run_time: Duration,
    /// The time left until the deadline of the job.
    pub time_to_deadline: Duration,
    /// Whether the start uses a credit that the sidecar granted.
    pub uses_credit: bool,
    /// The input that the minion receives.
    pub payload: Vec<u8>,
}

/// The report of a sidecar on a task that was dispatched to it.
#[message]
pub enum TaskReport {
    /// The task ran and has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// The outcome of the attempt.
        outcome: TaskOutcome,
        /// How long the attempt occupied its slot.
        run_time: Duration,
    },
    /// The attempt was not started, and is fenced so that it never starts.
    NotStarted {
        /// The task.
        task: TaskId,
        /// The fenced attempt.
        attempt: Attempt,
        /// The reason why it was not started.
        reason: NotStartedReason,
    },
}

/// The reason why a sidecar did not start an attempt.
#[message]
#[derive(Copy, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum NotStartedReason {
    /// No slot was free.
    NoSlot,
    /// The minion accepts no new tasks or is unreachable.
    NoMinion,
    /// The job is fenced: no sidecar starts any more of its tasks.
    JobFenced,
    /// The owner cancelled the job.
    Cancelled,
}
