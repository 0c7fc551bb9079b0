//! The results that a sidecar keeps for owners whose session may break.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::Attempt;
use crate::job::{TaskId, TaskOutcome};

/// Keeps how tasks ended, for a time and up to a number of bytes.
#[value]
#[derive(Default)]
pub(super) struct EndedTasks {
    tasks: HashMap<TaskId, EndedTask>,
    order: VecDeque<TaskId>,
    kept_bytes: usize,
}

/// How a task ended.
#[value]
pub(super) struct EndedTask {
    /// The attempt that ended.
    pub(super) attempt: Attempt,
    /// How.
    pub(super) outcome: TaskOutcome,
    /// How long it held its slot.
    pub(super) run_time: Duration,
    /// When it ended.
    pub(super) ended_at: Instant,
}

impl EndedTasks {
    /// The most bytes of results that are kept.
    const KEPT_BYTES_MAX: usize = 16 << 20;

    pub(super) fn keep(&mut self, task: TaskId, ended: EndedTask) {
        self.kept_bytes += Self::size_bytes(&ended);
        self.tasks.insert(task, ended);
        self.order.push_back(task);
        while self.kept_bytes > Self::KEPT_BYTES_MAX {
            self.drop_oldest();
        }
    }

    pub(super) fn get(&self, task: &TaskId) -> Option<&EndedTask> {
        self.tasks.get(task)
    }

    pub(super) fn forget(&mut self, time: Duration, now: Instant) {
        while let Some(oldest) = self.order.front().and_then(|task| self.tasks.get(task)) {
            if now.duration_since(oldest.ended_at) <= time {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(task) = self.order.pop_front() else {
            return;
        };
        if let Some(ended) = self.tasks.remove(&task) {
            self.kept_bytes -= Self::size_bytes(&ended);
        }
    }

    fn size_bytes(ended: &EndedTask) -> usize {
        let result_bytes = match &ended.outcome {
            TaskOutcome::Done { result } => result.len(),
            TaskOutcome::Failed { .. } => 0,
        };
        result_bytes + size_of::<EndedTask>() + size_of::<TaskId>()
    }
}
