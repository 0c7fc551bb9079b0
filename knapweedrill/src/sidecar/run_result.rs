//! Results of calls to the minion.

use knapweedrill_derive::value;

use crate::job::TaskOutcome;

/// The result of a call to the minion.
#[value]
pub enum RunResult {
    /// The request was sent, so the task may have run.
    Sent(TaskOutcome),
    /// No connection was established, so nothing was sent.
    NotSent,
}
