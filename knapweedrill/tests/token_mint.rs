//! A token names every sidecar that may start a task under it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use knapweedrill::contract::roster_digest;
use knapweedrill::entry::TokenMint;
use proptest::prelude::*;

const HONOURED: Duration = Duration::from_secs(300);

#[test]
fn a_sidecar_that_joins_starts_a_generation_and_gets_no_older_jobs() {
    let now = Instant::now();
    let mut mint = TokenMint::new(7, now);
    let before = mint.current();
    assert!(mint.add_sidecar(1, now));
    assert!(!mint.add_sidecar(1, now));
    let after = mint.current();
    assert!(after.generation > before.generation);
    assert_ne!(after.roster, before.roster);
    assert!(!mint.may_use(1, before.generation));
    assert!(mint.may_use(1, after.generation));
}

#[test]
fn a_token_is_honoured_for_its_time_and_never_if_it_was_not_handed_out() {
    let now = Instant::now();
    let mut mint = TokenMint::new(7, now);
    let old = mint.current();
    mint.add_sidecar(1, now);
    assert!(mint.is_valid(old));
    let mut forged = old;
    forged.roster ^= 1;
    assert!(!mint.is_valid(forged));
    mint.remove_superseded(HONOURED, now + HONOURED + Duration::from_secs(1));
    assert!(mint.has_expired(old.generation));
    assert!(!mint.has_expired(mint.current().generation));
}

/// What happens to a mint.
#[derive(Debug, Clone, Copy)]
enum Step {
    Join(u64),
    Leave(u64),
    Rotate,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u64).prop_map(Step::Join),
        3 => (0..6u64).prop_map(Step::Leave),
        1 => Just(Step::Rotate),
    ]
}

proptest! {
    #[test]
    fn whoever_may_be_used_for_a_token_is_named_by_it(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut now = Instant::now();
        let mut mint = TokenMint::new(7, now);
        let mut named: HashMap<u32, BTreeSet<u64>> = HashMap::new();
        for step in steps {
            now += Duration::from_secs(1);
            match step {
                Step::Join(sidecar) => { mint.add_sidecar(sidecar, now); }
                Step::Leave(sidecar) => { mint.remove_sidecar(sidecar, now); }
                Step::Rotate => { mint.rotate(Duration::ZERO, now); }
            }
            let token = mint.current();
            let roster: BTreeSet<u64> = mint.sidecars().collect();
            prop_assert_eq!(token.roster, roster_digest(roster.iter().copied()));
            prop_assert!(mint.is_valid(token));
            // One generation has one roster for ever.
            let known = named.entry(token.generation).or_insert_with(|| roster.clone());
            prop_assert_eq!(&*known, &roster);
            for (generation, roster) in &named {
                for sidecar in 0..6 {
                    if mint.may_use(sidecar, *generation) {
                        prop_assert!(roster.contains(&sidecar));
                    }
                }
            }
        }
    }
}
