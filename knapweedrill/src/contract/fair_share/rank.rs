//! Ranks of flows in fair sharing.

use std::cmp::Ordering;

use crate::contract::Class;

/// The position of a flow in the order for the next slot; the lowest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Whether the flow uses spare capacity, because its team has no guaranteed share left.
    pub is_spare: bool,
    /// The class.
    pub class: Class,
    /// The order among flows of equal class: for guaranteed work, the negated share balance in
    /// seconds at the rate of the share; for spare capacity, the start tag in slot-seconds per unit
    /// of weight.
    pub(super) order_s: f64,
}

impl Rank {
    /// Compares two ranks in a total order.
    pub fn total_cmp(&self, other: &Self) -> Ordering {
        self.is_spare
            .cmp(&other.is_spare)
            .then(self.class.cmp(&other.class))
            .then(self.order_s.total_cmp(&other.order_s))
    }
}
