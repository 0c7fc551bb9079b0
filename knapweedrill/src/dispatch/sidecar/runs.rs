//! The runs at a minion.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use super::action::RunKey;
use super::run::{Phase, Run};
use crate::common::Incarnation;
use crate::dispatch::{Attempt, Room, TaskName};

/// The runs at a minion: those that this process has ordered, and others that it has found there.
#[derive(Debug, Default)]
pub(super) struct Runs {
    ordered: HashMap<RunKey, Run>,
    /// Runs of an earlier process.
    foreign: HashSet<RunKey>,
}

impl Runs {
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

    /// Returns the names of the runs that this process has ordered.
    pub(super) fn keys(&self) -> Vec<RunKey> {
        self.ordered.keys().copied().collect()
    }

    /// Returns what the runs take up; what is being stopped still counts.
    pub(super) fn room(&self) -> Room {
        let runs = self.ordered.values();
        runs.fold(Room::default(), |sum, run| sum.plus(run.room))
    }

    /// Returns whether there is a run of a task, of whichever entry.
    pub(super) fn has_task(&self, task: TaskName) -> bool {
        self.ordered.keys().any(|key| key.task == task)
    }

    /// Returns whether an entry has runs here.
    pub(super) fn has_runs_of(&self, entry: Incarnation) -> bool {
        self.ordered.values().any(|run| run.owner == entry)
    }

    /// Returns the runs of an entry that are not being stopped.
    pub(super) fn active_of(&self, entry: Incarnation) -> Vec<RunKey> {
        self.ordered
            .values()
            .filter(|run| run.owner == entry)
            .filter(|run| matches!(run.phase, Phase::Starting | Phase::Running(_)))
            .map(|run| run.key)
            .collect()
    }

    /// Returns the run of a placement.
    pub(super) fn of_placement(
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

    /// Returns whether a run may be there, and can be stopped.
    pub(super) fn may_be_there(&self, key: RunKey) -> bool {
        self.ordered.contains_key(&key) || self.foreign.contains(&key)
    }

    /// Returns whether runs of an earlier process are there.
    pub(super) fn has_foreign(&self) -> bool {
        !self.foreign.is_empty()
    }

    /// Forgets a run of an earlier process, or all of them.
    pub(super) fn forget_foreign(&mut self, key: Option<RunKey>) {
        match key {
            Some(key) => drop(self.foreign.remove(&key)),
            None => self.foreign.clear(),
        }
    }

    /// Takes in what runs at the minion; returns the runs of earlier processes that are new.
    pub(super) fn find_foreign(&mut self, running: &HashSet<RunKey>) -> Vec<RunKey> {
        let unknown: HashSet<RunKey> = running
            .iter()
            .filter(|key| !self.ordered.contains_key(key))
            .copied()
            .collect();
        let news = unknown.difference(&self.foreign).copied().collect();
        self.foreign = unknown;
        news
    }

    /// Returns the runs that had been taken, or stopped, when the minion was asked at a moment, and
    /// that do not run there.
    pub(super) fn absent(&self, running: &HashSet<RunKey>, asked_at: Instant) -> Vec<RunKey> {
        self.ordered
            .values()
            .filter(|run| !running.contains(&run.key))
            .filter(|run| match run.phase {
                Phase::Running(since) | Phase::Stopped(since) => since < asked_at,
                Phase::Starting | Phase::Stopping => false,
            })
            .map(|run| run.key)
            .collect()
    }
}
