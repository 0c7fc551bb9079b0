//! Placement policies.

use knapweedrill_derive::key;

/// A policy that chooses the minion of a task.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// A random minion, whether or not it has a free slot.
    Random,
    /// The minions in turn, whether or not they have a free slot.
    RoundRobin,
    /// The minion with the fewest outstanding tasks of the entry per slot, whether or not one is
    /// free.
    FewestOutstanding,
    /// A random minion with a free slot.
    LateBindingNoSpeed,
    /// The fastest minion with a free slot.
    #[default]
    LateBindingBySpeed,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::FewestOutstanding,
        Self::LateBindingNoSpeed,
        Self::LateBindingBySpeed,
    ];

    /// Returns whether tasks wait at the entry until a slot is free.
    pub fn is_late_binding(self) -> bool {
        match self {
            Self::Random | Self::RoundRobin | Self::FewestOutstanding => false,
            Self::LateBindingNoSpeed | Self::LateBindingBySpeed => true,
        }
    }
}
