use std::collections::{HashMap, HashSet};

use knapweedrill::dispatch::sidecar::{HoldFailure, OrderAnswer};
use knapweedrill::dispatch::{JobName, TaskName};

use super::Simulation;
use super::call_content::CallContent;
use super::pending_call::PendingCall;
use super::response::Response;

/// How long a minion is down after a crash, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// Jobs whose first task crashes each minion that starts it.
#[derive(Debug, Default)]
pub(crate) struct DeadlyJobs {
    jobs: HashSet<JobName>,
    /// How long after its start a task crashes the minion, in milliseconds.
    pub(crate) delay_ms: u64,
    /// The minions that are about to crash, by time in milliseconds.
    due: Vec<(u64, usize)>,
    down_until_ms: HashMap<usize, u64>,
    pub(crate) crash_count: u64,
    /// The number of minions that each deadly task has crashed.
    pub(crate) crashes_by_task: HashMap<TaskName, u32>,
}

impl DeadlyJobs {
    pub(crate) fn insert(&mut self, job: JobName) {
        self.jobs.insert(job);
    }

    /// Records that a minion has started a task.
    pub(super) fn record_start(&mut self, task: TaskName, minion: usize, now_ms: u64) {
        if task.index == 0 && self.jobs.contains(&task.job) {
            self.due.push((now_ms + self.delay_ms, minion));
        }
    }
}

impl Simulation {
    /// Returns whether the minion of a node is down after a crash.
    pub(super) fn is_minion_down(&self, node: usize) -> bool {
        let minion = node - self.entry_count;
        let until_ms = self.deadly_jobs.down_until_ms.get(&minion);
        until_ms.is_some_and(|until_ms| *until_ms > self.now_ms)
    }

    /// Makes a minion refuse connections for a while.
    pub(super) fn keep_minion_down(&mut self, minion: usize, down_ms: u64) {
        let until_ms = self.now_ms + down_ms;
        self.deadly_jobs.down_until_ms.insert(minion, until_ms);
    }

    /// Crashes the minions on which tasks of deadly jobs run.
    pub(super) fn crash_minions_of_deadly_jobs(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<usize> = self
            .deadly_jobs
            .due
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, minion)| minion)
            .collect();
        for index in due {
            let deadly = &mut self.deadly_jobs;
            let runs = self.minions[index].running();
            let tasks: HashSet<TaskName> = runs
                .map(|run| run.task)
                .filter(|task| task.index == 0 && deadly.jobs.contains(&task.job))
                .collect();
            if tasks.is_empty() {
                continue;
            }
            for task in tasks {
                *deadly.crashes_by_task.entry(task).or_default() += 1;
            }
            deadly.crash_count += 1;
            deadly.down_until_ms.insert(index, now_ms + DOWN_MS);
            self.restart_minion(index);
            self.delay_registration(index, DOWN_MS);
        }
    }

    /// Answers a call to a minion that refuses connections.
    pub(super) fn refuse_call(&mut self, call: &mut PendingCall) {
        self.fail_hold(call, HoldFailure::Refused);
        self.deliver_response(call, OrderAnswer::NotSent, None);
    }

    /// Answers a call that is a hold with a failure.
    pub(super) fn fail_hold(&mut self, call: &mut PendingCall, failure: HoldFailure) {
        if let CallContent::Hold(hold) = &call.content
            && !std::mem::replace(&mut call.is_resolved, true)
        {
            self.respond(call, Response::HoldFailed(hold.call, failure));
        }
    }
}
