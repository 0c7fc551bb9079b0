//! The text form of a task's identifier.

use std::fmt;
use std::str::FromStr;

use knapweedrill::common::{Incarnation, JobId, TaskIndex};
use knapweedrill::job::TaskId;

/// A task's identifier in the form that the header `Knapweedrill-Task` carries.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct TaskLabel(pub TaskId);

/// Error for text that is not a task's identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "'{text}' is not a task identifier; expected OWNER-JOB-INDEX, with owner and job in hexadecimal"
)]
pub struct TaskLabelError {
    text: String,
}

impl fmt::Display for TaskLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let task = &self.0;
        write!(f, "{:016x}-{:032x}-{}", task.owner, task.job, task.index)
    }
}

impl FromStr for TaskLabel {
    type Err = TaskLabelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).map(Self).ok_or_else(|| TaskLabelError {
            text: text.chars().take(80).collect(),
        })
    }
}

impl From<TaskLabel> for String {
    fn from(label: TaskLabel) -> Self {
        label.to_string()
    }
}

impl TryFrom<String> for TaskLabel {
    type Error = TaskLabelError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

fn parse(text: &str) -> Option<TaskId> {
    let mut parts = text.split('-');
    let task = TaskId {
        owner: Incarnation::from_str_radix(parts.next()?, 16).ok()?,
        job: JobId::from_str_radix(parts.next()?, 16).ok()?,
        index: parts.next()?.parse::<TaskIndex>().ok()?,
    };
    parts.next().is_none().then_some(task)
}
