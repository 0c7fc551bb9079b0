//! The task queue of one service at one entry.

mod flow_queue;
mod queue_totals;
mod queued_job;
mod queued_task;
mod relative_speed;
mod taken_task;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use flow_queue::FlowQueue;
use queued_job::WaitingTasks;

use crate::common::{Generation, JobId};
use crate::contract::Flow;
use crate::job::TaskId;
use crate::message::Demand;

pub use queue_totals::QueueTotals;
pub use queued_job::QueuedJob;
pub use queued_task::QueuedTask;
pub use relative_speed::RelativeSpeed;
pub use taken_task::TakenTask;

/// The waiting tasks of one service at one entry, by team and class.
///
/// Among the jobs of one team and class, the one with the least remaining work goes first, with
/// aging. Within a job, the task with the longest expected run time goes first, unless the minion
/// is so slow that it would delay the job. An operation on one task takes logarithmic time in the
/// number of jobs and tasks.
#[derive(Debug)]
pub struct TaskQueue {
    epoch: Instant,
    flows: BTreeMap<Flow, FlowQueue>,
    /// The live jobs. A job without waiting tasks stays until it is removed, so that its tasks can
    /// be queued again.
    jobs: HashMap<JobId, WaitingTasks>,
    last_served_seq: u64,
    totals: QueueTotals,
}

impl TaskQueue {
    /// Creates an empty queue.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            flows: BTreeMap::new(),
            jobs: HashMap::new(),
            last_served_seq: 0,
            totals: QueueTotals::default(),
        }
    }

    /// Returns the totals over all waiting tasks.
    pub fn totals(&self) -> QueueTotals {
        self.totals
    }

    /// Returns the expected work that is dispatched before a new job of the flow.
    ///
    /// This is the work of the same team in the same class and in more urgent ones.
    pub fn work_ahead(&self, flow: &Flow) -> Duration {
        self.flows
            .iter()
            .filter(|(other, _)| other.team == flow.team && other.class <= flow.class)
            .map(|(_, queue)| queue.expected_work)
            .sum()
    }

    /// Queues a job, unless it is queued already.
    pub fn push_job(&mut self, job: QueuedJob, now: Instant) {
        if self.jobs.contains_key(&job.job) {
            return;
        }
        let mut tasks = WaitingTasks {
            flow: job.flow.clone(),
            generation: job.generation,
            arrived_after: now.saturating_duration_since(self.epoch),
            remaining_work: Duration::ZERO,
            tasks: BTreeMap::new(),
        };
        for task in job.tasks {
            self.totals.add(&task);
            tasks.push(task);
        }
        flow_queue(&mut self.flows, &job.flow, self.last_served_seq).insert(job.job, &tasks);
        self.jobs.insert(job.job, tasks);
    }

    /// Takes the next task of a team and class among the eligible generations.
    ///
    /// With the relative speed of the minion, the longest task that does not delay the job there is
    /// taken, or else the shortest one.
    pub fn take(
        &mut self,
        flow: &Flow,
        relative_speed: Option<RelativeSpeed>,
        is_eligible: impl Fn(Generation) -> bool,
    ) -> Option<TakenTask> {
        let job = self.flows.get(flow)?.next_job(is_eligible)?;
        self.take_from_job(job, relative_speed)
    }

    /// Takes the next task of the most urgent class, from its teams in round-robin order.
    pub fn take_any(
        &mut self,
        relative_speed: Option<RelativeSpeed>,
        is_eligible: impl Fn(Generation) -> bool,
    ) -> Option<TakenTask> {
        let flow = self
            .flows
            .iter()
            .filter(|(_, queue)| queue.task_count(&is_eligible) > 0)
            .min_by_key(|(flow, queue)| (flow.class, queue.last_served_seq))
            .map(|(flow, _)| flow.clone())?;
        self.take(&flow, relative_speed, is_eligible)
    }

    fn take_from_job(
        &mut self,
        job: JobId,
        relative_speed: Option<RelativeSpeed>,
    ) -> Option<TakenTask> {
        let tasks = self.jobs.get_mut(&job)?;
        let queue = self.flows.get_mut(&tasks.flow)?;
        queue.remove(job, tasks);
        let task = tasks.pop(relative_speed)?;
        queue.insert(job, tasks);
        self.last_served_seq += 1;
        queue.last_served_seq = self.last_served_seq;
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

    /// Queues a task again that was handed out and not started, with the next attempt number.
    ///
    /// Returns whether the job is still queued; otherwise the task is dropped.
    pub fn requeue(&mut self, mut task: QueuedTask) -> bool {
        let job = task.task.job;
        let Some(tasks) = self.jobs.get_mut(&job) else {
            return false;
        };
        let queue = flow_queue(&mut self.flows, &tasks.flow, self.last_served_seq);
        queue.remove(job, tasks);
        task.attempt += 1;
        self.totals.add(&task);
        tasks.push(task);
        queue.insert(job, tasks);
        true
    }

    /// Removes a job that has ended, and returns its waiting tasks.
    pub fn remove_job(&mut self, job: JobId) -> Vec<TaskId> {
        let Some(tasks) = self.jobs.remove(&job) else {
            return Vec::new();
        };
        if let Some(queue) = self.flows.get_mut(&tasks.flow) {
            queue.remove(job, &tasks);
            if queue.is_empty() {
                self.flows.remove(&tasks.flow);
            }
        }
        for task in tasks.tasks.values() {
            self.totals.remove(task);
        }
        tasks.tasks.values().map(|task| task.task).collect()
    }

    /// Returns the demand of each flow for a minion that may run the eligible generations.
    pub fn demands(&self, is_eligible: impl Fn(Generation) -> bool) -> Vec<Demand> {
        self.flows
            .iter()
            .map(|(flow, queue)| Demand {
                team: flow.team.clone(),
                class: flow.class,
                task_count: queue.task_count(&is_eligible),
                expected_run_time: queue.longest_task(),
            })
            .filter(|demand| demand.task_count > 0)
            .collect()
    }
}

fn flow_queue<'a>(
    flows: &'a mut BTreeMap<Flow, FlowQueue>,
    flow: &Flow,
    last_served_seq: u64,
) -> &'a mut FlowQueue {
    flows
        .entry(flow.clone())
        .or_insert_with(|| FlowQueue::new(last_served_seq))
}
