//! Placement candidates.

use crate::common::Incarnation;

/// A minion that is eligible for a task, as known to one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The sidecar of the minion.
    pub sidecar: Incarnation,
    /// The number of slots, that is of tasks that the minion runs concurrently.
    pub slot_count: u32,
    /// The number of free slots, less the starts that the last slot report does not cover.
    pub free_count: u32,
    /// The number of tasks that the entry has handed to the minion and that have not ended.
    pub outstanding_count: u32,
    /// The speed, in per cent of a minion of speed 1; 0 while unknown.
    pub speed_percent: u32,
}

impl Candidate {
    /// Returns the speed in per cent, or 100 while it is unknown.
    pub(super) fn assumed_speed_percent(&self) -> u32 {
        match self.speed_percent {
            0 => 100,
            percent => percent,
        }
    }

    /// Returns the number of outstanding tasks per slot, in thousandths.
    pub(super) fn load_permille(&self) -> u64 {
        u64::from(self.outstanding_count) * 1_000 / u64::from(self.slot_count.max(1))
    }
}
