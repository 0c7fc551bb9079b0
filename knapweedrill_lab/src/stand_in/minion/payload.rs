//! What a task of the lab asks for and returns.

use std::time::Duration;

use knapweedrill::job::TaskId;
use knapweedrill_derive::message;

use super::TaskLabel;

/// The payload of a task of the lab, as JSON.
#[message]
pub struct TaskPayload {
    /// How long the task runs on a minion of speed 100 %, in microseconds.
    pub run_us: u64,
    /// What the result repeats.
    pub echo: String,
    /// Whether the task fails at its end.
    #[serde(default)]
    pub fail: bool,
}

impl TaskPayload {
    /// Creates the payload of a task that succeeds after `run`.
    pub fn new(run: Duration, echo: impl Into<String>) -> Self {
        Self {
            run_us: run.as_micros() as u64,
            echo: echo.into(),
            fail: false,
        }
    }

    /// Returns the payload as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the payload has string keys only")
    }
}

/// Returns the result of a task, which names the task so that a crossed answer shows.
pub fn expected_result(echo: &str, task: TaskId) -> String {
    format!("{echo}@{}", TaskLabel(task))
}
