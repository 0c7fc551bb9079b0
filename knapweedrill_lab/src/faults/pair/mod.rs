//! Fault cases of two faults at once.

pub(super) mod entry_killed_minion_hangs;
pub(super) mod under_load;
