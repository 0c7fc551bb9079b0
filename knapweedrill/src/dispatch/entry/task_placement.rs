//! A placement of a task.

use crate::common::Incarnation;
use crate::dispatch::{Attempt, TaskName};

/// A task that was sent to a sidecar and whose outcome is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskName,
    /// The sidecar process.
    pub sidecar: Incarnation,
    /// The number of the placement, unique within the entry process.
    pub attempt: Attempt,
}
