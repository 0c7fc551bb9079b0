//! Owner tokens: the roster of a token covers every sidecar that may start a task under it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use knapweedrill::contract::roster_digest;
use knapweedrill::entry::TokenMint;
use proptest::prelude::*;

const TOKEN_RETENTION: Duration = Duration::from_secs(300);

#[test]
fn added_sidecar_starts_a_generation_and_may_not_run_older_jobs() {
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
fn token_is_valid_until_it_expires_and_a_forged_one_never() {
    let now = Instant::now();
    let mut mint = TokenMint::new(7, now);
    let old = mint.current();
    mint.add_sidecar(1, now);
    assert!(mint.is_valid(old));
    let mut forged = old;
    forged.roster ^= 1;
    assert!(!mint.is_valid(forged));
    mint.remove_superseded(
        TOKEN_RETENTION,
        now + TOKEN_RETENTION + Duration::from_secs(1),
    );
    assert!(mint.has_expired(old.generation));
    assert!(!mint.has_expired(mint.current().generation));
}

/// A step of the property test.
#[derive(Debug, Clone, Copy)]
enum Step {
    Add(u64),
    Remove(u64),
    Rotate,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u64).prop_map(Step::Add),
        3 => (0..6u64).prop_map(Step::Remove),
        1 => Just(Step::Rotate),
    ]
}

proptest! {
    #[test]
    fn roster_of_a_token_covers_every_sidecar_that_may_run_its_jobs(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut now = Instant::now();
        let mut mint = TokenMint::new(7, now);
        let mut rosters: HashMap<u32, BTreeSet<u64>> = HashMap::new();
        for step in steps {
            now += Duration::from_secs(1);
            match step {
                Step::Add(sidecar) => { mint.add_sidecar(sidecar, now); }
                Step::Remove(sidecar) => { mint.remove_sidecar(sidecar, now); }
                Step::Rotate => { mint.rotate(Duration::ZERO, now); }
            }
            let token = mint.current();
            let roster: BTreeSet<u64> = mint.sidecars().collect();
            prop_assert_eq!(token.roster, roster_digest(roster.iter().copied()));
            prop_assert!(mint.is_valid(token));
            // The roster of a generation never changes.
            let known = rosters.entry(token.generation).or_insert_with(|| roster.clone());
            prop_assert_eq!(&*known, &roster);
            for (generation, roster) in &rosters {
                for sidecar in 0..6 {
                    if mint.may_use(sidecar, *generation) {
                        prop_assert!(roster.contains(&sidecar));
                    }
                }
            }
        }
    }
}
