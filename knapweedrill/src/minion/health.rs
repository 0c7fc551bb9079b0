//! Outlier detection: ejection of minions that fail their tasks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{EndedCounts, HealthChange};
use crate::common::Incarnation;

/// How many of the latest outcomes of a minion decide whether it is ejected.
const RECENT_OUTCOME_COUNT: u32 = 8;

/// How many of the recent outcomes must be failures for an ejection.
const RECENT_FAILURE_COUNT_MIN: u32 = 5;

/// The factor by which the failure rate of a minion must exceed that of the other minions.
const FAILURE_RATE_FACTOR: f64 = 2.0;

/// The margin that is added to the scaled failure rate of the other minions.
const FAILURE_RATE_MARGIN: f64 = 0.2;

/// The duration of the first ejection, before jitter.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// The maximum duration of an ejection.
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// The random fraction of a backoff.
const BACKOFF_JITTER: f64 = 0.5;

/// How many consecutive failures make a minion suspect.
const SUSPECT_STREAK_COUNT: u32 = 2;

/// How many consecutive successes reset the ejection backoff of a minion.
const BACKOFF_RESET_STREAK_COUNT: u32 = 32;

/// The outcome history and the ejection state of one minion.
#[derive(Debug, Default)]
struct MinionRecord {
    /// The latest counts from the sidecar, which cover the tasks of all entries.
    reported_counts: EndedCounts,
    /// The last outcomes, with the latest in the lowest bit; a set bit is a failure.
    outcomes: u64,
    outcome_count: u32,
    success_streak_count: u32,
    ejection_count: u32,
    ejected_until: Option<Instant>,
}

impl MinionRecord {
    fn record(&mut self, is_failure: bool) {
        self.outcomes = (self.outcomes << 1) | u64::from(is_failure);
        self.outcome_count = (self.outcome_count + 1).min(u64::BITS);
        if is_failure {
            self.success_streak_count = 0;
            return;
        }
        self.success_streak_count += 1;
        if self.success_streak_count >= BACKOFF_RESET_STREAK_COUNT {
            self.ejection_count = 0;
        }
    }

    /// Returns the number of consecutive failures up to the latest outcome.
    fn failure_streak_count(&self) -> u32 {
        self.outcomes.trailing_ones()
    }

    fn failure_count(&self) -> u32 {
        self.outcomes.count_ones()
    }

    fn recent_failure_count(&self) -> u32 {
        (self.outcomes & ((1 << RECENT_OUTCOME_COUNT) - 1)).count_ones()
    }

    fn clear_outcomes(&mut self) {
        self.outcomes = 0;
        self.outcome_count = 0;
        self.success_streak_count = 0;
    }
}

/// Ejects the minions of one service whose failure rate exceeds that of the others.
///
/// An ejected minion gets a single task as a trial after its backoff. The configured percentage of
/// ejected minions is never exceeded, so that faulty tasks cannot eject the whole service.
#[derive(Debug)]
pub struct ServiceHealth {
    ejected_max_percent: u32,
    minions: BTreeMap<Incarnation, MinionRecord>,
    rng: StdRng,
}

impl ServiceHealth {
    /// Creates the state of a service without minions; `seed` makes the jitter reproducible.
    pub fn new(ejected_max_percent: u32, seed: u64) -> Self {
        Self {
            ejected_max_percent,
            minions: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the largest percentage of the minions that may be ejected at the same time.
    pub fn set_ejected_max_percent(&mut self, ejected_max_percent: u32) {
        self.ejected_max_percent = ejected_max_percent;
        self.readmit_excess();
    }

    /// Adds a minion, identified by its sidecar.
    pub fn add_minion(&mut self, sidecar: Incarnation) {
        self.minions.entry(sidecar).or_default();
    }

    /// Removes a minion that is lost or leaving.
    pub fn remove_minion(&mut self, sidecar: Incarnation) {
        self.minions.remove(&sidecar);
        self.readmit_excess();
    }

    /// Returns how many minions are ejected.
    pub fn ejected_count(&self) -> u32 {
        self.minions
            .values()
            .filter(|record| record.ejected_until.is_some())
            .count() as u32
    }

    fn ejected_max_count(&self) -> u32 {
        self.minions.len() as u32 * self.ejected_max_percent / 100
    }

    /// Readmits minions, the one with the earliest trial first, until the limit is met.
    fn readmit_excess(&mut self) {
        while self.ejected_count() > self.ejected_max_count() {
            let nearest = self
                .minions
                .values_mut()
                .filter(|record| record.ejected_until.is_some())
                .min_by_key(|record| record.ejected_until);
            let Some(record) = nearest else {
                return;
            };
            record.ejected_until = None;
            record.clear_outcomes();
        }
    }

    /// Returns whether a minion is ejected.
    pub fn is_ejected(&self, sidecar: Incarnation) -> bool {
        self.minions
            .get(&sidecar)
            .is_some_and(|record| record.ejected_until.is_some())
    }

    /// Returns whether a minion with `outstanding_count` tasks may be given another one.
    ///
    /// A minion that fails while the others succeed gets one task at a time until it is ejected or
    /// succeeds.
    pub fn may_start(&self, sidecar: Incarnation, outstanding_count: u32, now: Instant) -> bool {
        let record = self.minions.get(&sidecar);
        match record.and_then(|record| record.ejected_until) {
            None => outstanding_count == 0 || !self.is_suspect(sidecar),
            Some(until) => now >= until && outstanding_count == 0,
        }
    }

    fn is_suspect(&self, sidecar: Incarnation) -> bool {
        self.minions
            .get(&sidecar)
            .is_some_and(|record| record.failure_streak_count() >= SUSPECT_STREAK_COUNT)
            && self.is_outlier(sidecar, 1.0)
    }

    /// Records the counts that a sidecar reports for the tasks of all entries.
    ///
    /// A caller that passes these counts must not pass its own tasks to [`Self::record_end`] too.
    /// Counts that are older than the recorded ones are ignored.
    pub fn record_counts(
        &mut self,
        sidecar: Incarnation,
        counts: EndedCounts,
        now: Instant,
    ) -> Option<HealthChange> {
        let record = self.minions.get_mut(&sidecar)?;
        let new = counts.since(record.reported_counts)?;
        record.reported_counts = counts;
        let mut change = None;
        for is_failure in new.outcomes(u64::from(u64::BITS)) {
            change = self.record_end(sidecar, is_failure, now).or(change);
        }
        change
    }

    /// Records the outcome of a task on a minion.
    pub fn record_end(
        &mut self,
        sidecar: Incarnation,
        is_failure: bool,
        now: Instant,
    ) -> Option<HealthChange> {
        let record = self.minions.get_mut(&sidecar)?;
        if let Some(until) = record.ejected_until {
            // A task that was in flight at the ejection is not a trial.
            let is_trial = now >= until;
            return if is_trial {
                self.record_trial_end(sidecar, is_failure, now)
            } else {
                None
            };
        }
        record.record(is_failure);
        if !self.is_failing(sidecar) || self.ejected_count() >= self.ejected_max_count() {
            return None;
        }
        self.eject(sidecar, now);
        Some(HealthChange::Ejected)
    }

    fn record_trial_end(
        &mut self,
        sidecar: Incarnation,
        is_failure: bool,
        now: Instant,
    ) -> Option<HealthChange> {
        if is_failure {
            self.eject(sidecar, now);
            return Some(HealthChange::TrialFailed);
        }
        let record = self.minions.get_mut(&sidecar)?;
        record.ejected_until = None;
        record.clear_outcomes();
        Some(HealthChange::Readmitted)
    }

    fn eject(&mut self, sidecar: Incarnation, now: Instant) {
        let jitter = 1.0 - BACKOFF_JITTER * self.rng.random::<f64>();
        let Some(record) = self.minions.get_mut(&sidecar) else {
            return;
        };
        let backoff = BACKOFF_MIN.saturating_mul(1 << record.ejection_count.min(16));
        record.ejection_count += 1;
        record.ejected_until = Some(now + backoff.min(BACKOFF_MAX).mul_f64(jitter));
    }

    fn is_failing(&self, sidecar: Incarnation) -> bool {
        let Some(record) = self.minions.get(&sidecar) else {
            return false;
        };
        let failure_count = record.recent_failure_count();
        if failure_count < RECENT_FAILURE_COUNT_MIN {
            return false;
        }
        let recent_count = record.outcome_count.min(RECENT_OUTCOME_COUNT);
        let rate = f64::from(failure_count) / f64::from(recent_count);
        self.is_outlier(sidecar, rate)
    }

    /// Returns whether a failure rate is an outlier compared with the other minions.
    fn is_outlier(&self, sidecar: Incarnation, rate: f64) -> bool {
        rate > FAILURE_RATE_FACTOR * self.failure_rate_of_others(sidecar) + FAILURE_RATE_MARGIN
    }

    /// Returns the failure rate of the other minions that are not ejected.
    fn failure_rate_of_others(&self, sidecar: Incarnation) -> f64 {
        let others = self
            .minions
            .iter()
            .filter(|(other, record)| **other != sidecar && record.ejected_until.is_none());
        let (failure_count, outcome_count) = others
            .map(|(_, record)| (record.failure_count(), record.outcome_count))
            .fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
        f64::from(failure_count) / f64::from(outcome_count.max(1))
    }
}
