//! The placement policy of an entry, the section `[policy]`.

use knapweedrill::entry::PlacementPolicy;
use knapweedrill::ini::IniReader;

const PLACEMENT_CHOICES: [(&str, PlacementPolicy); 5] = [
    ("late-binding-by-speed", PlacementPolicy::LateBindingBySpeed),
    ("late-binding", PlacementPolicy::LateBindingNoSpeed),
    ("fewest-outstanding", PlacementPolicy::FewestOutstanding),
    ("round-robin", PlacementPolicy::RoundRobin),
    ("random", PlacementPolicy::Random),
];

pub(super) fn read(reader: &mut IniReader) -> PlacementPolicy {
    let mut section = reader.section("policy");
    let placement = section.choice_or("placement", &PLACEMENT_CHOICES, PlacementPolicy::default());
    section.finish();
    placement
}
