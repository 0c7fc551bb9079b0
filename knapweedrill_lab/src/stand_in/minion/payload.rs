//! The payload and the result of the lab's tasks.

use std::time::Duration;

use knapweedrill::job::TaskId;
use knapweedrill_derive::message;

use super::TaskLabel;

/// The JSON payload of a task of the lab.
#[message]
pub struct TaskPayload {
    /// The run time on a minion of speed 100 %, in microseconds.
    pub run_us: u64,
    /// The text that the result repeats.
    pub echo: String,
    /// Whether the task fails at the end of its run time.
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

/// Returns the expected result of a task. It contains the task's identifier, so that a response
/// delivered to the wrong caller is detected.
pub fn expected_result(echo: &str, task: TaskId) -> String {
    format!("{echo}@{}", TaskLabel(task))
}
