//! The jobs of an entry, and the order in which they are placed.

use std::collections::BTreeMap;
use std::time::Instant;

use super::job::Job;
use super::queue::WaitingJobs;
use crate::dispatch::JobName;

/// The jobs that have no answer yet. The jobs with waiting tasks are also queued in order of
/// placement; every change of a job updates the queue.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    /// Sorted, as overdue and lost jobs are handled in this order.
    jobs: BTreeMap<JobName, Job>,
    waiting: WaitingJobs,
}

impl Jobs {
    pub(super) fn insert(&mut self, job: Job) {
        self.waiting.update(&job);
        self.jobs.insert(job.name, job);
    }

    pub(super) fn remove(&mut self, name: JobName) -> Option<Job> {
        let job = self.jobs.remove(&name)?;
        self.waiting.remove(&job);
        Some(job)
    }

    pub(super) fn get(&self, name: JobName) -> Option<&Job> {
        self.jobs.get(&name)
    }

    /// Applies `change` to a job and returns its result, or `None` if there is no such job.
    pub(super) fn change<T>(
        &mut self,
        name: JobName,
        change: impl FnOnce(&mut Job) -> T,
    ) -> Option<T> {
        let job = self.jobs.get_mut(&name)?;
        let result = change(job);
        self.waiting.update(job);
        Some(result)
    }

    /// Moves waiting jobs that can no longer meet their objective behind the others of their
    /// priority, so that one late job does not make the next one late as well.
    pub(super) fn demote_overdue(&mut self, now: Instant) {
        let waiting = self.waiting.names().filter_map(|name| self.jobs.get(&name));
        let overdue: Vec<_> = waiting
            .filter(|job| !job.is_overdue && job.misses_objective(now))
            .map(|job| job.name)
            .collect();
        for name in overdue {
            if let Some(job) = self.jobs.get_mut(&name) {
                self.waiting.remove(job);
                job.is_overdue = true;
                self.waiting.update(job);
            }
        }
    }

    /// Returns all jobs, in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the queue of the jobs with waiting tasks.
    pub(super) fn waiting(&self) -> &WaitingJobs {
        &self.waiting
    }
}
