//! The recent load of an entry, by service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::EntrySettings;
use super::drain_rate::DrainRate;
use super::job::Job;
use super::priority_rates::PriorityRates;
use super::queue_floor::floor_of;
use super::retry_after::{Backlog, RetryPromises, retry_after};
use crate::common::ServiceName;

/// The recent load of one service.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// The work of admitted jobs.
    arrived: PriorityRates,
    drain: DrainRate,
    retry_promises: RetryPromises,
}

/// The recent load of an entry. It is lost with the process, and a new one begins without load.
#[derive(Debug)]
pub(super) struct LoadHistory {
    services: BTreeMap<ServiceName, ServiceLoad>,
    /// The work that was placed, of all services together like the queue.
    placed: PriorityRates,
    predicts_retry_after: bool,
    /// The source of the jitter of retry delays.
    random: SmallRng,
}

impl LoadHistory {
    /// Creates a history without load.
    pub(super) fn new(settings: &EntrySettings) -> Self {
        Self {
            services: BTreeMap::new(),
            placed: PriorityRates::default(),
            predicts_retry_after: settings.predicts_retry_after,
            random: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the retry delay of the callers of a job that was refused because of the load.
    pub(super) fn retry_after(&mut self, job: &Job, backlog: &Backlog, now: Instant) -> Duration {
        if !self.predicts_retry_after {
            return retry_after(job.name);
        }
        let load = self.services.entry(job.service.clone()).or_default();
        let random = &mut self.random;
        load.retry_promises.promise(backlog, random, now)
    }

    /// Records that a job was admitted.
    pub(super) fn record_admitted(&mut self, job: &Job, now: Instant) {
        self.services
            .entry(job.service.clone())
            .or_default()
            .arrived
            .record(job.policy.priority, job.total_millicore_ms(), now);
    }

    /// Returns the rate at which work of higher priorities than that of a job has been admitted for
    /// its service, in millicores.
    pub(super) fn arrival_rate_above(&self, job: &Job, now: Instant) -> u64 {
        let load = self.services.get(&job.service);
        load.map_or(0, |load| load.arrived.rate_above(job.policy.priority, now))
    }

    /// Records that a task of a job was placed.
    pub(super) fn record_placed(&mut self, job: &Job, position: usize, now: Instant) {
        let millicore_ms = job.millicore_ms(position);
        self.placed.record(job.policy.priority, millicore_ms, now);
        if let Some(load) = self.services.get_mut(&job.service) {
            load.drain.record_placed(millicore_ms, now);
        }
    }

    /// Records that the current round of placement leaves a job waiting for resources.
    pub(super) fn record_left_waiting(&mut self, job: &Job) {
        if let Some(load) = self.services.get_mut(&job.service) {
            load.drain.record_left_waiting();
        }
    }

    /// Ends a round of placement.
    pub(super) fn end_round(&mut self) {
        for load in self.services.values_mut() {
            load.drain.end_round();
        }
    }

    /// Returns the recent rate at which work of a service was placed while some of it waited, in
    /// millicores.
    pub(super) fn drain_rate(&self, service: &str, now: Instant) -> u64 {
        let load = self.services.get(service);
        load.map_or(0, |load| load.drain.millicores(now))
    }

    /// Returns by how much the placed work of a priority recently exceeded its floor, in millicores
    /// times milliseconds.
    pub(super) fn above_floor(&self, priority: u8, now: Instant) -> u64 {
        let floor = floor_of(self.placed.total_work(now));
        self.placed.work_of(priority, now).saturating_sub(floor)
    }

    /// Returns the work that was placed recently.
    pub(super) fn placed(&self) -> &PriorityRates {
        &self.placed
    }
}
