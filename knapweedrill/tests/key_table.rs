//! Idempotency keys: a used key is found or reported as expired, never treated as new.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use knapweedrill::entry::{KeyLookup, KeyTable};
use knapweedrill::job::Refusal;
use knapweedrill::message::RetainedOutcome;
use proptest::prelude::*;

const KEY_RETENTION: Duration = Duration::from_secs(300);
const ANSWER_BYTES_MAX: usize = 1_000;

fn complete(bytes: usize) -> RetainedOutcome {
    RetainedOutcome::Complete {
        results: vec![vec![7; bytes]],
    }
}

#[test]
fn resubmission_finds_the_live_job_and_then_its_outcome() {
    let now = Instant::now();
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, 100);
    assert_eq!(keys.lookup(1, 5), KeyLookup::New);
    keys.insert_live(1, 5, 77, now);
    assert_eq!(keys.lookup(1, 5), KeyLookup::Live { content_hash: 77 });
    keys.record_end(1, 5, complete(3), now);
    let outcome = complete(3);
    assert_eq!(
        keys.lookup(1, 5),
        KeyLookup::Ended {
            content_hash: 77,
            outcome: &outcome
        }
    );
}

#[test]
fn answers_over_the_size_limit_are_evicted_and_their_keys_retained() {
    let now = Instant::now();
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, 100);
    keys.insert_ended(1, 5, 0, complete(900), now);
    keys.insert_ended(1, 6, 0, complete(900), now);
    assert!(matches!(
        keys.lookup(1, 5),
        KeyLookup::Ended {
            outcome: RetainedOutcome::CompleteEvicted,
            ..
        }
    ));
    assert!(keys.answer_bytes() <= ANSWER_BYTES_MAX);
}

#[test]
fn generation_with_a_live_job_is_not_dropped() {
    let now = Instant::now();
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, 100);
    keys.insert_live(1, 5, 0, now);
    keys.expire(KEY_RETENTION, now + KEY_RETENTION * 2);
    assert_eq!(keys.lookup(1, 5), KeyLookup::Live { content_hash: 0 });
}

#[test]
fn refusal_is_retained_like_any_other_outcome() {
    let now = Instant::now();
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, 100);
    let outcome = RetainedOutcome::NotRun {
        refusal: Refusal::Overloaded,
        retry_after: None,
    };
    keys.insert_ended(1, 5, 0, outcome.clone(), now);
    assert_eq!(
        keys.lookup(1, 5),
        KeyLookup::Ended {
            content_hash: 0,
            outcome: &outcome
        }
    );
}

proptest! {
    #[test]
    fn used_key_is_found_or_expired_and_memory_is_bounded(
        steps in prop::collection::vec((0..60u64, 0..6u32, 0..40u128, 0..400usize), 1..200),
    ) {
        let mut now = Instant::now();
        let mut keys = KeyTable::new(ANSWER_BYTES_MAX, 30);
        let mut used: HashMap<(u32, u128), usize> = HashMap::new();
        for (after_s, generation, job, bytes) in steps {
            now += Duration::from_secs(after_s);
            if keys.lookup(generation, job) == KeyLookup::New {
                prop_assert!(!used.contains_key(&(generation, job)));
                used.insert((generation, job), bytes);
                keys.insert_ended(generation, job, 0, complete(bytes), now);
            }
            keys.expire(KEY_RETENTION, now);
            prop_assert!(keys.key_count() <= 30 + 1);
            prop_assert!(keys.answer_bytes() <= ANSWER_BYTES_MAX);
            for ((generation, job), bytes) in &used {
                match keys.lookup(*generation, *job) {
                    KeyLookup::Expired => {}
                    KeyLookup::Ended { outcome: RetainedOutcome::CompleteEvicted, .. } => {}
                    KeyLookup::Ended { outcome, .. } => prop_assert_eq!(outcome, &complete(*bytes)),
                    other => prop_assert!(false, "the lookup of a used key returned {other:?}"),
                }
            }
        }
    }
}
