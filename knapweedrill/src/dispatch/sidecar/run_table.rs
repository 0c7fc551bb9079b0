//! The table of runs at a minion.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::{Duration, Instant};

use super::action::RunKey;
use super::run::{Phase, Run};
use crate::common::Incarnation;
use crate::dispatch::{Attempt, JobName, Resources, TaskName};

/// The runs that this process has ordered, and orphaned runs that it has found at the minion.
///
/// Both are sorted, as reports and stop orders are sent in their order.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    ordered: BTreeMap<RunKey, Run>,
    /// Runs that an earlier sidecar process ordered.
    orphaned: BTreeSet<RunKey>,
}

impl RunTable {
    pub(super) fn insert(&mut self, run: Run) {
        self.ordered.insert(run.key, run);
    }

    pub(super) fn remove(&mut self, key: RunKey) -> Option<Run> {
        self.ordered.remove(&key)
    }

    pub(super) fn get(&self, key: RunKey) -> Option<&Run> {
        self.ordered.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: RunKey) -> Option<&mut Run> {
        self.ordered.get_mut(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.ordered.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the keys of the runs that this process has ordered.
    pub(super) fn keys(&self) -> Vec<RunKey> {
        self.ordered.keys().copied().collect()
    }

    /// Returns the keys of the runs that fulfil a condition.
    pub(super) fn keys_where(&self, condition: impl Fn(&Run) -> bool) -> Vec<RunKey> {
        let runs = self.iter().filter(|run| condition(run));
        runs.map(|run| run.key).collect()
    }

    /// Returns the runs that this process has ordered.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Run> {
        self.ordered.values()
    }

    /// Returns whether any run belongs to another job.
    pub(super) fn has_other_job(&self, job: JobName) -> bool {
        self.iter().any(|run| run.key.task.job != job)
    }

    /// Returns the resources that the runs occupy, including runs that are being stopped.
    pub(super) fn resources(&self) -> Resources {
        let runs = self.ordered.values();
        runs.fold(Resources::default(), |sum, run| {
            sum.saturating_add(run.resources)
        })
    }

    /// Returns whether any entry has a run of the task.
    pub(super) fn has_task(&self, task: TaskName) -> bool {
        self.ordered.keys().any(|key| key.task == task)
    }

    /// Returns whether any run belongs to the entry.
    pub(super) fn has_runs_of(&self, entry: Incarnation) -> bool {
        self.ordered.values().any(|run| run.owner == entry)
    }

    /// Marks the runs of an entry as abandoned and returns those that were not.
    pub(super) fn abandon_runs_of(&mut self, entry: Incarnation, now: Instant) -> Vec<RunKey> {
        self.ordered
            .values_mut()
            .filter(|run| run.owner == entry && run.abandoned_at.is_none())
            .map(|run| {
                run.abandoned_at = Some(now);
                run.key
            })
            .collect()
    }

    /// Returns since when the minion may have a run that has to end and whose stop order has no
    /// answer. Orphaned runs count from `now`.
    pub(super) fn unconfirmed_stop_since(&self, now: Instant) -> Option<Instant> {
        let unconfirmed = self.iter().filter(|run| run.has_unconfirmed_stop());
        let orphans = self.has_orphans().then_some(now);
        unconfirmed
            .filter_map(|run| run.abandoned_at)
            .chain(orphans)
            .min()
    }

    /// Returns the abandoned runs whose stop order has no answer.
    pub(super) fn unconfirmed_stops(&self) -> Vec<RunKey> {
        self.iter()
            .filter(|run| run.has_unconfirmed_stop())
            .map(|run| run.key)
            .collect()
    }

    /// Returns the run of a placement.
    pub(super) fn find_placement(
        &self,
        entry: Incarnation,
        task: TaskName,
        attempt: Attempt,
    ) -> Option<RunKey> {
        self.ordered
            .values()
            .find(|run| run.owner == entry && run.key.task == task && run.attempt == attempt)
            .map(|run| run.key)
    }

    /// Returns whether the run may exist at the minion, so that a stop order makes sense.
    pub(super) fn contains(&self, key: RunKey) -> bool {
        self.ordered.contains_key(&key) || self.orphaned.contains(&key)
    }

    /// Returns whether the minion has runs of an earlier sidecar process.
    pub(super) fn has_orphans(&self) -> bool {
        !self.orphaned.is_empty()
    }

    /// Removes one orphaned run, or all of them if `key` is `None`.
    pub(super) fn remove_orphans(&mut self, key: Option<RunKey>) {
        match key {
            Some(key) => drop(self.orphaned.remove(&key)),
            None => self.orphaned.clear(),
        }
    }

    /// Records which runs the minion has.
    pub(super) fn confirm(&mut self, running: &HashSet<RunKey>) {
        for run in self.ordered.values_mut() {
            run.is_confirmed |= running.contains(&run.key);
        }
    }

    /// Updates the orphaned runs from what runs at the minion and returns those found for the first
    /// time. An incomplete list does not show which ones have ended.
    pub(super) fn update_orphans(
        &mut self,
        running: &HashSet<RunKey>,
        is_incomplete: bool,
    ) -> Vec<RunKey> {
        let mut unknown: BTreeSet<RunKey> = running
            .iter()
            .filter(|key| !self.ordered.contains_key(key))
            .copied()
            .collect();
        let newly_found = unknown.difference(&self.orphaned).copied().collect();
        if is_incomplete {
            unknown.extend(&self.orphaned);
        }
        self.orphaned = unknown;
        newly_found
    }

    /// Returns the runs that do not run at the minion, although it had accepted them before the hold
    /// call was sent at `hold_sent_at`, or had had `stop_time_max` to stop them.
    ///
    /// A run that is being stopped need not be listed until its end is.
    pub(super) fn missing(
        &self,
        running: &HashSet<RunKey>,
        hold_sent_at: Instant,
        stop_time_max: Duration,
    ) -> Vec<RunKey> {
        self.ordered
            .values()
            .filter(|run| !running.contains(&run.key))
            .filter(|run| match run.phase {
                Phase::Running(since) => since < hold_sent_at,
                Phase::Stopped(since) => since + stop_time_max < hold_sent_at,
                Phase::Starting | Phase::Stopping => false,
            })
            .map(|run| run.key)
            .collect()
    }
}
