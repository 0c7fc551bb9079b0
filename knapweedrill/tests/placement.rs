//! Placement policies.

use std::collections::BTreeMap;

use knapweedrill::common::Incarnation;
use knapweedrill::entry::{Candidate, PlacementPolicy, Placer};
use test_case::test_case;

fn candidate(sidecar: Incarnation, free_count: u32, speed_percent: u32) -> Candidate {
    Candidate {
        sidecar,
        slot_count: 8,
        free_count,
        outstanding_count: 8 - free_count,
        speed_percent,
    }
}

#[test]
fn fastest_minion_with_a_free_slot_is_chosen() {
    let mut placer = Placer::new(PlacementPolicy::LateBindingBySpeed, 1);
    let candidates = [
        candidate(1, 3, 100),
        candidate(2, 1, 250),
        candidate(3, 0, 400),
    ];
    assert_eq!(placer.choose(candidates), Some(2));
}

#[test]
fn unknown_speed_counts_as_the_reference_speed() {
    let mut placer = Placer::new(PlacementPolicy::LateBindingBySpeed, 1);
    let candidates = [
        candidate(1, 1, 90),
        candidate(2, 1, 0),
        candidate(3, 1, 110),
    ];
    assert_eq!(placer.choose(candidates), Some(3));
    assert_eq!(placer.choose(candidates[..2].to_vec()), Some(2));
}

#[test_case(PlacementPolicy::Random, true; "random")]
#[test_case(PlacementPolicy::RoundRobin, true; "round robin")]
#[test_case(PlacementPolicy::FewestOutstanding, true; "fewest outstanding")]
#[test_case(PlacementPolicy::LateBindingNoSpeed, false; "late binding without speeds")]
#[test_case(PlacementPolicy::LateBindingBySpeed, false; "late binding by speed")]
fn only_early_binding_chooses_a_minion_without_free_slots(
    policy: PlacementPolicy,
    is_chosen: bool,
) {
    let mut placer = Placer::new(policy, 1);
    let chosen = placer.choose([candidate(1, 0, 100)]);
    assert_eq!(chosen.is_some(), is_chosen);
    assert_eq!(policy.is_late_binding(), !is_chosen);
}

#[test]
fn round_robin_chooses_minions_in_turn() {
    let mut placer = Placer::new(PlacementPolicy::RoundRobin, 1);
    let chosen: Vec<_> = (0..6)
        .map(|_| placer.choose([5, 3, 9].map(|sidecar| candidate(sidecar, 0, 100))))
        .collect();
    assert_eq!(chosen, [3, 5, 9, 3, 5, 9].map(Some));
}

#[test]
fn random_policy_is_uniform() {
    let mut placer = Placer::new(PlacementPolicy::Random, 1);
    let mut counts: BTreeMap<Incarnation, u32> = BTreeMap::new();
    for _ in 0..4_000 {
        let chosen = placer.choose([1, 2, 3, 4].map(|sidecar| candidate(sidecar, 0, 100)));
        *counts
            .entry(chosen.expect("a minion is known"))
            .or_default() += 1;
    }
    assert!(counts.values().all(|count| (900..1_100).contains(count)));
}

#[test]
fn fewest_outstanding_compares_tasks_per_slot() {
    let mut placer = Placer::new(PlacementPolicy::FewestOutstanding, 1);
    let small = Candidate {
        slot_count: 2,
        outstanding_count: 2,
        ..candidate(1, 0, 100)
    };
    let large = Candidate {
        slot_count: 16,
        outstanding_count: 8,
        ..candidate(2, 8, 100)
    };
    assert_eq!(placer.choose([small, large]), Some(2));
}
