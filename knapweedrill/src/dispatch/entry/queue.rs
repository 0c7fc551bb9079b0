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
    /// `None` only in the position before all jobs of a priority.
    latest_start: Option<Instant>,
    name: JobName,
}

impl QueuePosition {
    fn of(job: &Job) -> Self {
        Self {
            priority: job.policy.priority,
            is_overdue: job.is_overdue,
            latest_start: Some(job.latest_start()),
            name: job.name,
        }
    }

    /// Returns the position before all jobs of a priority.
    fn before(priority: u8) -> Self {
        Self {
            priority,
            is_overdue: false,
            latest_start: None,
            name: JobName(0),
        }
    }

    /// Returns the priority of the job.
    pub(super) fn priority(&self) -> u8 {
        self.priority
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

    /// Returns the positions of the first jobs of all priorities, most urgent first.
    pub(super) fn first_of_priorities(&self) -> impl Iterator<Item = QueuePosition> + '_ {
        let first = self.work_by_position.keys().next().copied();
        std::iter::successors(first, |position| {
            let next_priority = position.priority.checked_add(1)?;
            let later = self
                .work_by_position
                .range(QueuePosition::before(next_priority)..);
            later.map(|(position, _)| *position).next()
        })
    }

    /// Returns the number of less urgent priorities with waiting jobs.
    pub(super) fn lower_priority_count(&self, priority: u8) -> u64 {
        let firsts = self.first_of_priorities();
        firsts.filter(|first| first.priority > priority).count() as u64
    }

    /// Returns the position of the first job of the same priority after the given position.
    pub(super) fn after(&self, position: &QueuePosition) -> Option<QueuePosition> {
        let later = (Bound::Excluded(position), Bound::Unbounded);
        let (next, _) = self.work_by_position.range(later).next()?;
        (next.priority == position.priority).then_some(*next)
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

    /// Returns the work queued ahead of a job that has its priority.
    pub(super) fn own_work_ahead(&self, job: &Job) -> WaitingWork {
        let first = QueuePosition::before(job.policy.priority);
        let works = self.work_by_position.range(first..QueuePosition::of(job));
        works.fold(WaitingWork::default(), |sum, (_, work)| sum + *work)
    }

    /// Returns the work of the overdue jobs of a priority.
    pub(super) fn overdue_work(&self, priority: u8) -> WaitingWork {
        let positions = self
            .work_by_position
            .range(QueuePosition::before(priority)..)
            .take_while(|(position, _)| position.priority == priority);
        let overdue = positions.filter(|(position, _)| position.is_overdue);
        overdue.fold(WaitingWork::default(), |sum, (_, work)| sum + *work)
    }
}
