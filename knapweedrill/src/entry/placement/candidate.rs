//! A minion that a task may go to.

use crate::common::Incarnation;

/// A minion that a task may go to, as an entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The sidecar of the minion.
    pub sidecar: Incarnation,
    /// How many tasks the minion runs at once.
    pub slot_count: u32,
    /// How many slots are free, less what the entry has sent there since the last report.
    pub free_count: u32,
    /// How many tasks the entry has handed to the minion that have not ended.
    pub outstanding_count: u32,
    /// The speed in per cent of that of a minion of speed 1; 0 while unknown.
    pub speed_percent: u32,
}

impl Candidate {
    /// Returns the speed, with that of the reference minion while it is unknown.
    pub(super) fn assumed_speed_percent(&self) -> u32 {
        match self.speed_percent {
            0 => 100,
            percent => percent,
        }
    }

    /// Returns the outstanding tasks for each slot, in thousandths.
    pub(super) fn load_permille(&self) -> u64 {
        u64::from(self.outstanding_count) * 1_000 / u64::from(self.slot_count.max(1))
    }
}
