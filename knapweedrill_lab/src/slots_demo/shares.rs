//! The share of the slot time that each team used.

use std::collections::BTreeMap;

use knapweedrill::common::{JobId, TeamName};
use knapweedrill_derive::message;

use crate::checker::History;

/// The slot time that a team used.
#[message]
pub struct TeamShare {
    /// The name of the team.
    pub team: TeamName,
    /// The number of its tasks that started and ended.
    pub task_count: usize,
    /// The slot time of its tasks, in milliseconds.
    pub slot_ms: u64,
    /// The slot time of its tasks, in per cent of that of all teams.
    pub share_percent: u64,
}

/// Returns the share of each team in the slot time of all tasks that ended.
pub(super) fn team_shares(history: &History) -> Vec<TeamShare> {
    let teams: BTreeMap<JobId, &TeamName> = history
        .submissions()
        .iter()
        .map(|submission| (submission.task_id(0).job, &submission.team))
        .collect();
    let mut used: BTreeMap<&TeamName, (usize, u64)> = BTreeMap::new();
    for start in history.starts() {
        let (Some(team), Some(end_us)) = (teams.get(&start.task.job), start.end_us) else {
            continue;
        };
        let (task_count, slot_us) = used.entry(team).or_default();
        *task_count += 1;
        *slot_us += end_us.saturating_sub(start.start_us);
    }
    let all_us = used.values().map(|(_, slot_us)| slot_us).sum::<u64>();
    used.into_iter()
        .map(|(team, (task_count, slot_us))| TeamShare {
            team: team.clone(),
            task_count,
            slot_ms: slot_us / 1_000,
            share_percent: slot_us * 100 / all_us.max(1),
        })
        .collect()
}
