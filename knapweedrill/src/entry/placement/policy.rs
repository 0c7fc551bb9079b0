//! How a task's minion is chosen.

use knapweedrill_derive::key;

/// How a task's minion is chosen.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Any minion, whether it has a free slot or not.
    Random,
    /// The minions in turn, whether they have a free slot or not.
    RoundRobin,
    /// The minion with the fewest tasks of the entry for its slots, whether one is free or not.
    FewestOutstanding,
    /// Any minion with a free slot.
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

    /// Returns whether a task waits at the entry until a slot is free.
    pub fn is_late_binding(self) -> bool {
        match self {
            Self::Random | Self::RoundRobin | Self::FewestOutstanding => false,
            Self::LateBindingNoSpeed | Self::LateBindingBySpeed => true,
        }
    }
}
