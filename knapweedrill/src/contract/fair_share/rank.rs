//! The place of a flow in the order at a slot.

use std::cmp::Ordering;

use crate::contract::Class;

/// The place of a flow in the order at a slot; a lesser rank goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Whether the flow draws on spare capacity, its team having had its guaranteed share.
    pub is_spare: bool,
    /// The class.
    pub class: Class,
    /// Within guaranteed work the balance that the team is short of its share, negated and in
    /// seconds; within spare capacity the start tag, in slot-seconds per unit of weight.
    pub(super) tag_s: f64,
}

impl Rank {
    /// Compares two ranks.
    pub fn total_cmp(&self, other: &Self) -> Ordering {
        self.is_spare
            .cmp(&other.is_spare)
            .then(self.class.cmp(&other.class))
            .then(self.tag_s.total_cmp(&other.tag_s))
    }
}
