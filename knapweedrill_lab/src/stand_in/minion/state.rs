//! The state that the threads of a minion share.

use std::sync::{Mutex, MutexGuard};

use knapweedrill::common::Attempt;
use knapweedrill::minion::MinionState;
use tiny_http::Request;

use super::{MinionControl, MinionOptions, StartRecord, StartsResponse, TaskLabel};
use crate::wall_clock::wall_us;

/// The state that the threads of a minion share.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) options: MinionOptions,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    control: MinionControl,
    leaving_since_us: Option<u64>,
    running_count: u32,
    max_running_count: u32,
    starts: Vec<StartRecord>,
    unanswered: Vec<Request>,
}

impl std::fmt::Debug for Inner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Inner")
            .field("control", &self.control)
            .field("running_count", &self.running_count)
            .finish_non_exhaustive()
    }
}

impl SharedState {
    pub(super) fn new(options: MinionOptions) -> Self {
        Self {
            options,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    pub(super) fn control(&self) -> MinionControl {
        self.lock().control
    }

    pub(super) fn set_control(&self, control: MinionControl) {
        self.lock().control = control;
    }

    /// Marks the minion as leaving; only the first call sets the time.
    pub(super) fn leave(&self) {
        self.lock().leaving_since_us.get_or_insert_with(wall_us);
    }

    pub(super) fn announced_state(&self) -> MinionState {
        match self.lock().leaving_since_us {
            Some(_) => MinionState::Leaving,
            None => MinionState::Serving,
        }
    }

    /// Records the start of a task and returns its index in the list of starts.
    pub(super) fn record_start(&self, task: TaskLabel, attempt: Attempt) -> usize {
        let mut inner = self.lock();
        inner.starts.push(StartRecord {
            task,
            attempt,
            start_us: wall_us(),
            end_us: None,
        });
        inner.running_count += 1;
        inner.max_running_count = inner.max_running_count.max(inner.running_count);
        inner.starts.len() - 1
    }

    /// Records the end of the task whose start has this index.
    pub(super) fn record_end(&self, index: usize) {
        let mut inner = self.lock();
        inner.running_count -= 1;
        inner.starts[index].end_us = Some(wall_us());
    }

    /// Keeps a request open without a response until the minion is dropped.
    pub(super) fn keep_unanswered(&self, request: Request) {
        self.lock().unanswered.push(request);
    }

    pub(super) fn starts(&self) -> StartsResponse {
        let inner = self.lock();
        StartsResponse {
            service: self.options.service.clone(),
            leaving_since_us: inner.leaving_since_us,
            max_running_count: inner.max_running_count,
            starts: inner.starts.clone(),
        }
    }
}
