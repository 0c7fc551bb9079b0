//! Ejection of minions that fail their tasks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::EndedCounts;
use crate::common::Incarnation;

/// How many of a minion's last outcomes decide on its ejection.
const RECENT_COUNT: u32 = 8;

/// How many of these must be failures.
const RECENT_FAILURES_MIN: u32 = 5;

/// How much larger than the service's own failure rate a minion's must be.
const RATE_FACTOR: f64 = 2.0;

/// What is added to the service's own failure rate before the two are compared.
const RATE_MARGIN: f64 = 0.2;

/// How long the first ejection lasts.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// How long an ejection lasts at most.
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// The part of a backoff that is random.
const BACKOFF_JITTER: f64 = 0.5;

/// How many failures in a row make a minion suspect.
const SUSPECT_STREAK_COUNT: u32 = 2;

/// How many successes in a row make a minion's past ejections forgotten.
const SUCCESSES_TO_FORGET: u32 = 32;

/// A change in whether a minion gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The minion gets no work until a trial.
    Ejected,
    /// A trial failed, and the next is further off.
    TrialFailed,
    /// A trial succeeded; the minion gets work again.
    Restored,
}

/// How a minion did.
#[derive(Debug, Default)]
struct MinionRecord {
    /// What the sidecar told last of the tasks of all entries.
    reported: EndedCounts,
    /// The last outcomes, the latest in the lowest bit; a set bit is a failure.
    outcomes: u64,
    outcome_count: u32,
    success_streak_count: u32,
    ejection_count: u32,
    ejected_until: Option<Instant>,
}

impl MinionRecord {
    fn add(&mut self, is_failure: bool) {
        self.outcomes = (self.outcomes << 1) | u64::from(is_failure);
        self.outcome_count = (self.outcome_count + 1).min(u64::BITS);
        if is_failure {
            self.success_streak_count = 0;
            return;
        }
        self.success_streak_count += 1;
        if self.success_streak_count >= SUCCESSES_TO_FORGET {
            self.ejection_count = 0;
        }
    }

    /// Returns how many of the last outcomes were failures without a success between.
    fn failure_streak_count(&self) -> u32 {
        self.outcomes.trailing_ones()
    }

    fn failure_count(&self) -> u32 {
        self.outcomes.count_ones()
    }

    fn recent_failure_count(&self) -> u32 {
        (self.outcomes & ((1 << RECENT_COUNT) - 1)).count_ones()
    }

    fn forget_outcomes(&mut self) {
        self.outcomes = 0;
        self.outcome_count = 0;
        self.success_streak_count = 0;
    }
}

/// Ejects the minions of one service that fail more than the others.
///
/// An ejected minion gets a single task as a trial when its backoff has passed. A part of the
/// service that the configuration states is never exceeded, so that a fault of the tasks
/// themselves does not take the whole service away.
#[derive(Debug)]
pub struct ServiceHealth {
    ejected_max_percent: u32,
    minions: BTreeMap<Incarnation, MinionRecord>,
    random: StdRng,
}

impl ServiceHealth {
    /// Creates the health of a service without minions; `seed` makes its jitter repeatable.
    pub fn new(ejected_max_percent: u32, seed: u64) -> Self {
        Self {
            ejected_max_percent,
            minions: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the largest part of the minions that may be ejected at once.
    pub fn set_ejected_max_percent(&mut self, ejected_max_percent: u32) {
        self.ejected_max_percent = ejected_max_percent;
        self.restore_excess();
    }

    /// Adds a minion, known by its sidecar.
    pub fn minion_found(&mut self, sidecar: Incarnation) {
        self.minions.entry(sidecar).or_default();
    }

    /// Removes a minion that is gone or leaving.
    pub fn minion_gone(&mut self, sidecar: Incarnation) {
        self.minions.remove(&sidecar);
        self.restore_excess();
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

    /// Brings back those whose trial is nearest when fewer minions may be ejected than are.
    fn restore_excess(&mut self) {
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
            record.forget_outcomes();
        }
    }

    /// Returns whether a minion is ejected.
    pub fn is_ejected(&self, sidecar: Incarnation) -> bool {
        self.minions
            .get(&sidecar)
            .is_some_and(|record| record.ejected_until.is_some())
    }

    /// Returns whether a minion may be handed another task while it has `outstanding_count`.
    ///
    /// One that fails while the others succeed gets one task at a time until it is ejected or
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
            && self.is_above_others(sidecar, 1.0)
    }

    /// Learns what a sidecar tells of the tasks of all entries.
    ///
    /// An entry that gives these counts does not tell of its own tasks by [`Self::ended`] too.
    /// Counts that are older than those given before change nothing.
    pub fn reported(
        &mut self,
        sidecar: Incarnation,
        counts: EndedCounts,
        now: Instant,
    ) -> Option<HealthChange> {
        let record = self.minions.get_mut(&sidecar)?;
        let new = counts.since(record.reported)?;
        record.reported = counts;
        let mut change = None;
        for is_failure in new.outcomes(u64::from(u64::BITS)) {
            change = self.ended(sidecar, is_failure, now).or(change);
        }
        change
    }

    /// Learns how a task ended on a minion.
    pub fn ended(
        &mut self,
        sidecar: Incarnation,
        is_failure: bool,
        now: Instant,
    ) -> Option<HealthChange> {
        let record = self.minions.get_mut(&sidecar)?;
        if let Some(until) = record.ejected_until {
            // A task that was in flight at the ejection is no trial.
            let is_trial = now >= until;
            return if is_trial {
                self.trial_ended(sidecar, is_failure, now)
            } else {
                None
            };
        }
        record.add(is_failure);
        if !self.is_failing(sidecar) || self.ejected_count() >= self.ejected_max_count() {
            return None;
        }
        self.eject(sidecar, now);
        Some(HealthChange::Ejected)
    }

    fn trial_ended(
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
        record.forget_outcomes();
        Some(HealthChange::Restored)
    }

    fn eject(&mut self, sidecar: Incarnation, now: Instant) {
        let jitter = 1.0 - BACKOFF_JITTER * self.random.random::<f64>();
        let Some(record) = self.minions.get_mut(&sidecar) else {
            return;
        };
        let doubled = BACKOFF_MIN.saturating_mul(1 << record.ejection_count.min(16));
        record.ejection_count += 1;
        record.ejected_until = Some(now + doubled.min(BACKOFF_MAX).mul_f64(jitter));
    }

    fn is_failing(&self, sidecar: Incarnation) -> bool {
        let Some(record) = self.minions.get(&sidecar) else {
            return false;
        };
        let failure_count = record.recent_failure_count();
        if failure_count < RECENT_FAILURES_MIN {
            return false;
        }
        let recent_count = record.outcome_count.min(RECENT_COUNT);
        let rate = f64::from(failure_count) / f64::from(recent_count);
        self.is_above_others(sidecar, rate)
    }

    /// Returns whether a failure rate is well above that of the other minions.
    fn is_above_others(&self, sidecar: Incarnation, rate: f64) -> bool {
        rate > RATE_FACTOR * self.others_rate(sidecar) + RATE_MARGIN
    }

    /// Returns the failure rate of the other minions that get work.
    fn others_rate(&self, sidecar: Incarnation) -> f64 {
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
