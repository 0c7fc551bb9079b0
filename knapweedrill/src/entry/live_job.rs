//! A job that has not ended.

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
    /// How many tasks are with a sidecar.
    pub(super) out_count: u32,
    /// Whether any attempt was started, or may have been.
    pub(super) may_have_started: bool,
}

/// A task of a live job.
#[value]
pub(super) struct LiveTask {
    pub(super) hint: Option<Duration>,
    pub(super) attempt: Attempt,
    pub(super) state: LiveTaskState,
}

/// Where a task is.
#[value]
pub(super) enum LiveTaskState {
    /// It waits in the queue.
    Queued,
    /// It was handed to a sidecar.
    Out {
        /// The sidecar.
        sidecar: Incarnation,
    },
    /// It ended with a result.
    Done {
        /// The result.
        result: Vec<u8>,
    },
}

/// A requester that waits for the outcome.
#[value]
pub(super) struct Waiter {
    pub(super) requester: Requester,
    pub(super) until: Instant,
}

impl LiveJob {
    /// Returns the number of tasks.
    pub(super) fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns a task, if the index is one of the job's.
    pub(super) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut LiveTask> {
        self.tasks.get_mut(index as usize)
    }

    /// Returns whether every task has ended with a result.
    pub(super) fn is_complete(&self) -> bool {
        self.ended_count == self.task_count()
    }

    /// Returns whether no attempt was started and none can be under way.
    pub(super) fn has_certainly_not_run(&self) -> bool {
        !self.may_have_started && self.out_count == 0 && self.ended_count == 0
    }

    /// Takes the results out, in the order of the tasks.
    pub(super) fn take_results(&mut self) -> Vec<Vec<u8>> {
        self.tasks
            .iter_mut()
            .filter_map(|task| match &mut task.state {
                LiveTaskState::Done { result } => Some(std::mem::take(result)),
                _ => None,
            })
            .collect()
    }

    /// Returns the sidecars that have tasks of the job.
    pub(super) fn sidecars(&self) -> SmallVec<[Incarnation; 16]> {
        let mut sidecars: SmallVec<[Incarnation; 16]> = self
            .tasks
            .iter()
            .filter_map(|task| match task.state {
                LiveTaskState::Out { sidecar } => Some(sidecar),
                _ => None,
            })
            .collect();
        sidecars.sort_unstable();
        sidecars.dedup();
        sidecars
    }
}
