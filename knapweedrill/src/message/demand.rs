//! What entries would run, and what sidecars allow.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::TeamName;
use crate::contract::Class;
use crate::minion::EndedCounts;

/// How much work of one team and class an entry would run on a minion.
#[message]
pub struct Demand {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// How many tasks wait.
    pub task_count: u32,
    /// How long the longest of them is expected to run on a minion of speed 1.
    pub expected: Duration,
}

/// Allows an entry to start tasks of one team and class.
#[message]
pub struct Credit {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// How many tasks may start.
    pub task_count: u32,
}

/// The state of a minion's slots.
#[message]
#[derive(Copy, Default)]
pub struct SlotReport {
    /// How many tasks the minion runs at once.
    pub slot_count: u32,
    /// How many slots run nothing and are promised to nobody.
    pub free_count: u32,
    /// The measured speed in per cent of that of a minion of speed 1; 0 while unknown.
    pub speed_percent: u32,
    /// How many starts of the receiver the sidecar has taken in on the current session.
    pub starts_seen_count: u64,
    /// How many tasks of all entries ended on the minion.
    pub ended: EndedCounts,
}
