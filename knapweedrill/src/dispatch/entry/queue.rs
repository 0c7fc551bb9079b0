//! The order in which jobs are placed.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Instant;

use super::job::Job;
use super::waiting_work::WaitingWork;
use crate::dispatch::JobName;

/// The sort key of a waiting job, most significant field first: jobs of a priority that are not
/// overdue come first, by earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    priority: u8,
    is_overdue: bool,
    latest_start: Instant,
    name: JobName,
}

impl QueuePosition {
    fn of(job: &Job) -> Self {
        Self {
            priority: job.policy.priority,
            is_overdue: job.is_overdue,
            latest_start: job.latest_start(),
            name: job.name,
        }
    }

    /// Returns the name of the job.
    pub(super) fn job(&self) -> JobName {
        self.name
    }
}

/// The jobs with waiting tasks, in the order of placement.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    work_by_position: BTreeMap<QueuePosition, WaitingWork>,
}

impl WaitingJobs {
    /// Inserts or updates a job, or removes it if none of its tasks is waiting.
    pub(super) fn update(&mut self, job: &Job) {
        let position = QueuePosition::of(job);
        if job.is_waiting() {
            self.work_by_position.insert(position, job.waiting_work());
        } else {
            self.work_by_position.remove(&position);
        }
    }

    pub(super) fn remove(&mut self, job: &Job) {
        self.work_by_position.remove(&QueuePosition::of(job));
    }

    /// Returns the position of the first job.
    pub(super) fn first(&self) -> Option<QueuePosition> {
        self.work_by_position.keys().next().copied()
    }

    /// Returns the position of the first job after the given position.
    pub(super) fn after(&self, position: &QueuePosition) -> Option<QueuePosition> {
        let later = (Bound::Excluded(position), Bound::Unbounded);
        let next = self.work_by_position.range(later).next();
        next.map(|(position, _)| *position)
    }

    /// Returns the names of all jobs, in the order of placement.
    pub(super) fn names(&self) -> impl Iterator<Item = JobName> + '_ {
        self.work_by_position.keys().map(QueuePosition::job)
    }

    pub(super) fn len(&self) -> usize {
        self.work_by_position.len()
    }

    /// Returns the waiting work of all jobs.
    pub(super) fn total_work(&self) -> WaitingWork {
        let works = self.work_by_position.values();
        works.fold(WaitingWork::default(), |sum, work| sum + *work)
    }

    /// Returns the work queued ahead of a job.
    pub(super) fn work_ahead(&self, job: &Job) -> WaitingWork {
        let works = self.work_by_position.range(..QueuePosition::of(job));
        works.fold(WaitingWork::default(), |sum, (_, work)| sum + *work)
    }

    /// Returns the work of the overdue jobs of a priority.
    pub(super) fn overdue_work(&self, priority: u8) -> WaitingWork {
        let of_priority = self
            .work_by_position
            .iter()
            .skip_while(|(position, _)| position.priority < priority)
            .take_while(|(position, _)| position.priority == priority);
        let overdue = of_priority.filter(|(position, _)| position.is_overdue);
        overdue.fold(WaitingWork::default(), |sum, (_, work)| sum + *work)
    }
}
