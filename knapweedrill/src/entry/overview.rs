//! The state of an entry that is shown to operators.

use std::collections::BTreeMap;

use knapweedrill_derive::value;

use super::QueueTotals;
use super::core::Entry;
use crate::common::{Incarnation, TeamName};

/// The state of a minion, as known to one entry.
#[value]
#[derive(Copy)]
pub struct MinionOverview {
    /// Whether outlier detection has ejected the minion.
    pub is_ejected: bool,
    /// The number of slots in use, including starts that the sidecar has not reported yet.
    pub busy_count: u32,
    /// The estimated speed, in per cent of a minion of speed 1.
    pub speed_percent: u32,
}

/// The work of a team at an entry.
#[value]
#[derive(Copy, Default)]
pub struct TeamOverview {
    /// The number of queued tasks.
    pub queued_count: u32,
    /// The number of tasks that were handed to sidecars and have not ended.
    pub running_count: u32,
}

impl Entry {
    /// Returns the sum of the totals of all queues.
    pub fn queue_totals(&self) -> QueueTotals {
        let queues = self.services.values().map(|work| work.queue.totals());
        queues.fold(QueueTotals::default(), |sum, queue| QueueTotals {
            task_count: sum.task_count + queue.task_count,
            payload_bytes: sum.payload_bytes + queue.payload_bytes,
            expected_work: sum.expected_work + queue.expected_work,
        })
    }

    /// Returns the state of a sidecar's minion, or `None` if the sidecar is unknown.
    pub fn minion_overview(&self, sidecar: Incarnation) -> Option<MinionOverview> {
        let view = self.sidecars.get(&sidecar)?;
        Some(MinionOverview {
            is_ejected: self.is_ejected(sidecar, view),
            busy_count: view.announcement.slots.saturating_sub(view.free_count()),
            speed_percent: view.speed.percent(),
        })
    }

    /// Returns the work of each team that has live jobs.
    pub fn team_overviews(&self) -> BTreeMap<TeamName, TeamOverview> {
        let mut teams: BTreeMap<TeamName, TeamOverview> = BTreeMap::new();
        for live in self.jobs.values() {
            let team = teams.entry(live.team.clone()).or_default();
            team.running_count += live.outstanding_count;
            team.queued_count += live.task_count() - live.ended_count - live.outstanding_count;
        }
        teams
    }

    /// Returns the total number of slots of the minions that accept new tasks.
    pub fn slot_count(&self) -> u32 {
        self.sidecars
            .values()
            .filter(|view| view.is_usable())
            .map(|view| view.announcement.slots)
            .sum()
    }
}
