//! The minimum share of each priority in what is placed.

/// The part of the placed work that each priority with waiting work keeps, in percent.
pub(super) const QUEUE_FLOOR_PERCENT: u64 = 20;
