use knapweedrill::dispatch::{Attempt, TaskName};

/// A placement of a task at a sidecar process by an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PlacementId {
    pub(crate) sidecar: u64,
    pub(crate) entry: u64,
    pub(crate) task: TaskName,
    pub(crate) attempt: Attempt,
}
