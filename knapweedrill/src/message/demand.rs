//! Credit-based flow control: demands of entries, and credits that sidecars grant.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::TeamName;
use crate::contract::Class;
use crate::minion::EndedCounts;

/// The work of one team and class that an entry has queued for a minion.
#[message]
pub struct Demand {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// How many tasks are queued.
    pub task_count: u32,
    /// The longest expected run time among these tasks on a minion of speed 1.
    pub expected_run_time: Duration,
}

/// Permits an entry to start tasks of one team and class.
#[message]
pub struct Credit {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// How many tasks the entry may start.
    pub task_count: u32,
}

/// The state of a minion's slots.
#[message]
#[derive(Copy, Default)]
pub struct SlotReport {
    /// How many tasks the minion runs concurrently.
    pub slot_count: u32,
    /// How many slots are idle and not reserved by a credit.
    pub free_count: u32,
    /// The measured speed in per cent of that of a minion of speed 1; 0 if unknown.
    pub speed_percent: u32,
    /// How many starts the sidecar has received from the receiver of this report on the current
    /// session.
    pub starts_received_count: u64,
    /// How many tasks of any entry have ended on the minion.
    pub ended: EndedCounts,
}
