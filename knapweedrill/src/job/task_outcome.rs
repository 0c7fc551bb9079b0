//! The outcome of a task.

use knapweedrill_derive::message;

/// The outcome of a task that was started.
#[message]
pub enum TaskOutcome {
    /// The minion returned a result.
    Done {
        /// The result, as returned by the minion.
        result: Vec<u8>,
    },
    /// There is no result, although the task may have run.
    Failed {
        /// The reason for the failure.
        failure: TaskFailure,
    },
}

/// The reason why a task that was started has no result.
#[message]
#[derive(Copy, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum TaskFailure {
    /// The minion responded with an error.
    MinionError,
    /// The minion did not respond in time.
    Timeout,
    /// The connection to the minion broke.
    ConnectionLost,
    /// The owner cancelled the task while it ran.
    Cancelled,
}
