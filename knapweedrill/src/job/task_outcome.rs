//! The outcome of a task.

use knapweedrill_derive::message;

/// The outcome of a task that was started.
#[message]
pub enum TaskOutcome {
    /// The minion returned a result.
    Done {
        /// What the minion returned.
        result: Vec<u8>,
    },
    /// The task may have run, and there is no result.
    Failed {
        /// What went wrong.
        failure: TaskFailure,
    },
}

/// What went wrong with a task that was started.
#[message]
#[derive(Copy, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum TaskFailure {
    /// The minion answered with an error.
    MinionError,
    /// The minion did not answer in time.
    Timeout,
    /// The connection to the minion broke.
    ConnectionLost,
    /// The owner cancelled the task while it ran.
    Cancelled,
}
