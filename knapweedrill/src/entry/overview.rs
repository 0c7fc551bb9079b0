//! What an entry shows to operators.

use std::collections::BTreeMap;

use knapweedrill_derive::value;

use super::QueueTotals;
use super::core::Entry;
use crate::common::{Incarnation, TeamName};

/// A minion, as an entry sees it.
#[value]
#[derive(Copy)]
pub struct MinionOverview {
    /// Whether it was ejected for its failures.
    pub is_ejected: bool,
    /// How many of its slots are in use, as far as the entry knows.
    pub busy_count: u32,
    /// Its speed in per cent of that of a minion of speed 1.
    pub speed_percent: u32,
}

/// The work of a team at an entry.
#[value]
#[derive(Copy, Default)]
pub struct TeamOverview {
    /// How many tasks wait.
    pub queued_count: u32,
    /// How many tasks are with sidecars.
    pub running_count: u32,
}

impl Entry {
    /// Returns how much waits in all queues.
    pub fn queue_totals(&self) -> QueueTotals {
        let queues = self.services.values().map(|work| work.queue.totals());
        queues.fold(QueueTotals::default(), |sum, queue| QueueTotals {
            task_count: sum.task_count + queue.task_count,
            payload_bytes: sum.payload_bytes + queue.payload_bytes,
            expected_work: sum.expected_work + queue.expected_work,
        })
    }

    /// Returns a minion by its sidecar, if the entry knows it.
    pub fn minion_overview(&self, sidecar: Incarnation) -> Option<MinionOverview> {
        let view = self.sidecars.get(&sidecar)?;
        Some(MinionOverview {
            is_ejected: self.is_ejected(sidecar, view),
            busy_count: view.announcement.slots.saturating_sub(view.free_count()),
            speed_percent: view.speed.percent(),
        })
    }

    /// Returns the work of each team that has any.
    pub fn team_overviews(&self) -> BTreeMap<TeamName, TeamOverview> {
        let mut teams: BTreeMap<TeamName, TeamOverview> = BTreeMap::new();
        for live in self.jobs.values() {
            let team = teams.entry(live.team.clone()).or_default();
            team.running_count += live.out_count;
            team.queued_count += live.task_count() - live.ended_count - live.out_count;
        }
        teams
    }

    /// Returns how many slots the minions in use have.
    pub fn slot_count(&self) -> u32 {
        self.sidecars
            .values()
            .filter(|view| view.is_usable())
            .map(|view| view.announcement.slots)
            .sum()
    }
}
