//! Live jobs and their tasks.

use std::time::{Duration, Instant};

use knapweedrill_derive::value;
use smallvec::SmallVec;

use super::Requester;
use crate::common::{
    Attempt, Generation, Incarnation, JobId, KindName, ServiceName, TaskIndex, TeamName,
};
use crate::contract::Class;

/// A job that has not ended, at the entry that owns it.
#[value]
pub(super) struct LiveJob {
    pub(super) job: JobId,
    pub(super) generation: Generation,
    pub(super) team: TeamName,
    pub(super) kind: KindName,
    pub(super) service: ServiceName,
    pub(super) class: Class,
    pub(super) accepted_at: Instant,
    pub(super) deadline_at: Instant,
    pub(super) tasks: Vec<LiveTask>,
    pub(super) waiters: SmallVec<[Waiter; 2]>,
    pub(super) ended_count: u32,
    /// The number of tasks that were handed to a sidecar and have not ended.
    pub(super) outstanding_count: u32,
    /// Whether an attempt was started or may have been started.
    pub(super) may_have_started: bool,
}

/// A task of a live job.
#[value]
pub(super) struct LiveTask {
    pub(super) hint: Option<Duration>,
    pub(super) attempt: Attempt,
    pub(super) state: LiveTaskState,
}

/// The state of a task of a live job.
#[value]
pub(super) enum LiveTaskState {
    /// The task waits in the queue.
    Queued,
    /// The task was handed to a sidecar and has not ended.
    HandedOut {
        /// The sidecar.
        sidecar: Incarnation,
    },
    /// The task ended with a result.
    Done {
        /// The result.
        result: Vec<u8>,
    },
}

/// A requester that waits for the outcome of a job.
#[value]
pub(super) struct Waiter {
    pub(super) requester: Requester,
    pub(super) wait_until: Instant,
}

impl LiveJob {
    /// Returns the number of tasks.
    pub(super) fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns a task by its index, or `None` if the index is out of range.
    pub(super) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut LiveTask> {
        self.tasks.get_mut(index as usize)
    }

    /// Returns whether every task has ended with a result.
    pub(super) fn is_complete(&self) -> bool {
        self.ended_count == self.task_count()
    }

    /// Returns whether it is certain that no attempt was started and none can still start.
    pub(super) fn has_certainly_not_run(&self) -> bool {
        !self.may_have_started && self.outstanding_count == 0 && self.ended_count == 0
    }

    /// Moves the results out of the job, in the order of the tasks.
    pub(super) fn take_results(&mut self) -> Vec<Vec<u8>> {
        self.tasks
            .iter_mut()
            .filter_map(|task| match &mut task.state {
                LiveTaskState::Done { result } => Some(std::mem::take(result)),
                _ => None,
            })
            .collect()
    }

    /// Returns the sidecars with outstanding tasks of the job, without duplicates.
    pub(super) fn sidecars(&self) -> SmallVec<[Incarnation; 16]> {
        let mut sidecars: SmallVec<[Incarnation; 16]> = self
            .tasks
            .iter()
            .filter_map(|task| match task.state {
                LiveTaskState::HandedOut { sidecar } => Some(sidecar),
                _ => None,
            })
            .collect();
        sidecars.sort_unstable();
        sidecars.dedup();
        sidecars
    }
}
