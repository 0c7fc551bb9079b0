//! Reconciliation of tasks after a broken session or the loss of their owner.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Attempt, Generation, Incarnation, JobId};
use crate::job::{TaskId, TaskOutcome};

/// A task that was dispatched on a session that broke before its report arrived.
#[message]
#[derive(Copy)]
pub struct TaskInDoubt {
    /// The task.
    pub task: TaskId,
    /// The generation of the owner token that the job was submitted under.
    pub generation: Generation,
    /// The attempt that is in doubt.
    pub attempt: Attempt,
}

/// The state of a task in doubt, as its sidecar reports it.
#[message]
pub struct ReconciledTask {
    /// The task.
    pub task: TaskId,
    /// The attempt that was in doubt.
    pub attempt: Attempt,
    /// The state of the attempt at the sidecar.
    pub state: AttemptState,
}

/// The state of an attempt at a sidecar.
#[message]
pub enum AttemptState {
    /// The attempt is running or about to start; a report follows when it ends.
    Running,
    /// The attempt has ended.
    Ended {
        /// The outcome of the attempt.
        outcome: TaskOutcome,
        /// How long the attempt occupied its slot.
        run_time: Duration,
    },
    /// The attempt was never started, and is fenced so that it never starts.
    NeverStarted,
    /// The sidecar has no record of the attempt any more; it may have run.
    Unknown,
}

/// The report of a sidecar on a fenced job, whose owner is unreachable.
#[message]
#[derive(Copy)]
pub struct FenceReport {
    /// The reporting sidecar.
    pub sidecar: Incarnation,
    /// The job, of which this sidecar starts no more tasks.
    pub job: JobId,
    /// Whether this sidecar has started any task of the job, or may have done so before the period
    /// that its records cover.
    pub may_have_started: bool,
}
