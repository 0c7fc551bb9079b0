//! How an entry chooses a minion for a task.

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

/// How an entry chooses a minion for a task; all but the default are for comparisons.
#[value]
#[derive(Copy, Eq, Default)]
pub enum Placement {
    /// Tasks wait at the entry for a free slot and go to the fastest, the longest task first.
    #[default]
    LateBindingBySpeed,
    /// Tasks wait at the entry for a free slot and go to any.
    LateBinding,
    /// Tasks go at once to the minion with the fewest outstanding tasks.
    FewestOutstanding,
    /// Tasks go at once to the minions in turn.
    RoundRobin,
    /// Tasks go at once to a random minion.
    Random,
}

const PLACEMENT_CHOICES: [(&str, Placement); 5] = [
    ("late-binding-by-speed", Placement::LateBindingBySpeed),
    ("late-binding", Placement::LateBinding),
    ("fewest-outstanding", Placement::FewestOutstanding),
    ("round-robin", Placement::RoundRobin),
    ("random", Placement::Random),
];

impl Placement {
    pub(super) fn read(reader: &mut IniReader) -> Self {
        let mut section = reader.section("policy");
        let placement = section.choice_or("placement", &PLACEMENT_CHOICES, Self::default());
        section.finish();
        placement
    }
}
