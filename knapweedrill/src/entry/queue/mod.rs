//! What waits at one entry for one service.

mod flow_queue;
mod minion_pace;
mod queue_totals;
mod queued_job;
mod queued_task;
mod taken_task;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use flow_queue::FlowQueue;
use queued_job::JobTasks;

use crate::common::{Generation, JobId};
use crate::contract::Flow;
use crate::job::TaskId;
use crate::message::Demand;

pub use minion_pace::MinionPace;
pub use queue_totals::QueueTotals;
pub use queued_job::QueuedJob;
pub use queued_task::QueuedTask;
pub use taken_task::TakenTask;

/// The tasks that wait at one entry for one service, by team and class.
///
/// Among the jobs of one team and class the one with the least remaining work goes first, with
/// aging; within a job the longest expected task goes first, unless the minion is so slow that it
/// would delay the job. Every operation on one task costs
/// the logarithm of the number of jobs and tasks.
#[derive(Debug)]
pub struct TaskQueue {
    epoch: Instant,
    flows: BTreeMap<Flow, FlowQueue>,
    /// The queued jobs; one whose tasks are all handed out stays until it is removed, so that a
    /// task that comes back finds its place.
    jobs: HashMap<JobId, JobTasks>,
    served_number: u64,
    totals: QueueTotals,
}

impl TaskQueue {
    /// Creates an empty queue.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            flows: BTreeMap::new(),
            jobs: HashMap::new(),
            served_number: 0,
            totals: QueueTotals::default(),
        }
    }

    /// Returns how much waits in total.
    pub fn totals(&self) -> QueueTotals {
        self.totals
    }

    /// Returns the expected work that surely goes before a new job of the flow: that of the same
    /// team in the same class and in more urgent ones.
    pub fn work_ahead(&self, flow: &Flow) -> Duration {
        self.flows
            .iter()
            .filter(|(other, _)| other.team == flow.team && other.class <= flow.class)
            .map(|(_, queue)| queue.expected_work)
            .sum()
    }

    /// Queues a job; a job that is queued already is left as it is.
    pub fn push_job(&mut self, job: QueuedJob, now: Instant) {
        if self.jobs.contains_key(&job.job) {
            return;
        }
        let mut tasks = JobTasks {
            flow: job.flow.clone(),
            generation: job.generation,
            arrived: now.saturating_duration_since(self.epoch),
            remaining: Duration::ZERO,
            tasks: BTreeMap::new(),
        };
        for task in job.tasks {
            self.totals.add(&task);
            tasks.push(task);
        }
        flow_queue(&mut self.flows, &job.flow, self.served_number).enter(job.job, &tasks);
        self.jobs.insert(job.job, tasks);
    }

    /// Takes the next task of a team and class whose job's generation is eligible.
    ///
    /// With the pace of the minion that it is for, it is one that does not delay its job there,
    /// if the job has such a task.
    pub fn take(
        &mut self,
        flow: &Flow,
        pace: Option<MinionPace>,
        is_eligible: impl Fn(Generation) -> bool,
    ) -> Option<TakenTask> {
        let job = self.flows.get(flow)?.next_job(is_eligible)?;
        self.take_of(job, pace)
    }

    /// Takes the next task of the most urgent class, from the teams in turn.
    pub fn take_any(
        &mut self,
        pace: Option<MinionPace>,
        is_eligible: impl Fn(Generation) -> bool,
    ) -> Option<TakenTask> {
        let flow = self
            .flows
            .iter()
            .filter(|(_, queue)| queue.task_count(&is_eligible) > 0)
            .min_by_key(|(flow, queue)| (flow.class, queue.served_number))
            .map(|(flow, _)| flow.clone())?;
        self.take(&flow, pace, is_eligible)
    }

    fn take_of(&mut self, job: JobId, pace: Option<MinionPace>) -> Option<TakenTask> {
        let tasks = self.jobs.get_mut(&job)?;
        let queue = self.flows.get_mut(&tasks.flow)?;
        queue.leave(job, tasks);
        let task = tasks.pop(pace)?;
        queue.enter(job, tasks);
        self.served_number += 1;
        queue.served_number = self.served_number;
        if queue.is_empty() {
            self.flows.remove(&tasks.flow);
        }
        let taken = TakenTask {
            flow: tasks.flow.clone(),
            generation: tasks.generation,
            task,
        };
        self.totals.remove(&taken.task);
        Some(taken)
    }

    /// Puts a task back that was fenced; its attempt counts one more.
    ///
    /// Returns whether the job is still queued; otherwise the task is dropped.
    pub fn push_back(&mut self, mut task: QueuedTask) -> bool {
        let job = task.task.job;
        let Some(tasks) = self.jobs.get_mut(&job) else {
            return false;
        };
        let queue = flow_queue(&mut self.flows, &tasks.flow, self.served_number);
        queue.leave(job, tasks);
        task.attempt += 1;
        self.totals.add(&task);
        tasks.push(task);
        queue.enter(job, tasks);
        true
    }

    /// Removes a job that has ended, and returns its tasks that were waiting.
    pub fn remove_job(&mut self, job: JobId) -> Vec<TaskId> {
        let Some(tasks) = self.jobs.remove(&job) else {
            return Vec::new();
        };
        if let Some(queue) = self.flows.get_mut(&tasks.flow) {
            queue.leave(job, &tasks);
            if queue.is_empty() {
                self.flows.remove(&tasks.flow);
            }
        }
        for task in tasks.tasks.values() {
            self.totals.remove(task);
        }
        tasks.tasks.values().map(|task| task.task).collect()
    }

    /// Returns what the entry would run on a minion that may run the eligible generations.
    pub fn demands(&self, is_eligible: impl Fn(Generation) -> bool) -> Vec<Demand> {
        self.flows
            .iter()
            .map(|(flow, queue)| Demand {
                team: flow.team.clone(),
                class: flow.class,
                task_count: queue.task_count(&is_eligible),
                expected_run_time: queue.longest(),
            })
            .filter(|demand| demand.task_count > 0)
            .collect()
    }
}

fn flow_queue<'a>(
    flows: &'a mut BTreeMap<Flow, FlowQueue>,
    flow: &Flow,
    served_number: u64,
) -> &'a mut FlowQueue {
    flows
        .entry(flow.clone())
        .or_insert_with(|| FlowQueue::new(served_number))
}
