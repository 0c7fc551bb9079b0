//! Results that a sidecar retains for owners whose session may break.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::Attempt;
use crate::job::{TaskId, TaskOutcome};

/// Retains the outcomes of ended tasks, limited by age and by total size.
#[value]
#[derive(Default)]
pub(super) struct EndedTasks {
    tasks: HashMap<TaskId, EndedTask>,
    oldest_first: VecDeque<TaskId>,
    retained_bytes: usize,
}

/// The outcome of a task.
#[value]
pub(super) struct EndedTask {
    /// The attempt that ended.
    pub(super) attempt: Attempt,
    /// The outcome that was reported to the owner.
    pub(super) outcome: TaskOutcome,
    /// How long the task occupied its slot.
    pub(super) run_time: Duration,
    /// When the task ended.
    pub(super) ended_at: Instant,
}

impl EndedTasks {
    /// The maximum total size of the retained results.
    const RETAINED_BYTES_MAX: usize = 16 << 20;

    pub(super) fn insert(&mut self, task: TaskId, ended: EndedTask) {
        self.retained_bytes += Self::size_bytes(&ended);
        self.tasks.insert(task, ended);
        self.oldest_first.push_back(task);
        while self.retained_bytes > Self::RETAINED_BYTES_MAX {
            self.evict_oldest();
        }
    }

    pub(super) fn get(&self, task: &TaskId) -> Option<&EndedTask> {
        self.tasks.get(task)
    }

    pub(super) fn evict_older_than(&mut self, age: Duration, now: Instant) {
        while let Some(oldest) = self
            .oldest_first
            .front()
            .and_then(|task| self.tasks.get(task))
        {
            if now.duration_since(oldest.ended_at) <= age {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(task) = self.oldest_first.pop_front() else {
            return;
        };
        if let Some(ended) = self.tasks.remove(&task) {
            self.retained_bytes -= Self::size_bytes(&ended);
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
