//! The order in which jobs get room.

use std::collections::BTreeMap;
use std::time::Instant;

use super::job::Job;
use crate::dispatch::JobName;

/// The place of a job in the order: the more urgent queue first, in it the job that has to start
/// first to keep its objective.
type Place = (u8, Instant, JobName);

/// The jobs with tasks that wait for room.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    /// The work that waits, by place.
    places: BTreeMap<Place, u64>,
}

impl WaitingJobs {
    /// Puts a job into its place, or takes it out if none of its tasks wait.
    pub(super) fn update(&mut self, job: &Job) {
        let place = place(job);
        if job.is_waiting() {
            self.places.insert(place, job.waiting_work());
        } else {
            self.places.remove(&place);
        }
    }

    pub(super) fn remove(&mut self, job: &Job) {
        self.places.remove(&place(job));
    }

    /// Returns the jobs in their order.
    pub(super) fn in_order(&self) -> impl Iterator<Item = JobName> + '_ {
        self.places.keys().map(|(_, _, job)| *job)
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns all work that waits.
    pub(super) fn work(&self) -> u64 {
        self.places.values().sum()
    }

    /// Returns the work that comes before a job.
    pub(super) fn work_before(&self, job: &Job) -> u64 {
        self.places.range(..place(job)).map(|(_, work)| work).sum()
    }
}

fn place(job: &Job) -> Place {
    (job.terms.priority, job.latest_start(), job.name)
}
