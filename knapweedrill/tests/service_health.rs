//! Tests of outlier detection: ejection, trials and readmission of minions.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::minion::{EndedCounts, HealthChange, ServiceHealth};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOT_COUNT: u32 = 8;

fn health(minion_count: u64, ejected_max_percent: u32) -> ServiceHealth {
    let mut health = ServiceHealth::new(ejected_max_percent, 1);
    for sidecar in 0..minion_count {
        health.add_minion(sidecar);
    }
    health
}

fn eject(health: &mut ServiceHealth, sidecar: Incarnation, now: Instant) {
    while !health.is_ejected(sidecar) {
        health.record_end(sidecar, true, now);
    }
}

#[test]
fn minion_that_fails_everything_is_ejected_within_three_times_its_slots() {
    let now = Instant::now();
    // Three entries detect the outlier independently; tasks fill all slots until each has ejected
    // the minion.
    let mut entries = [0; 3].map(|_| health(10, 50));
    for entry in &mut entries {
        for sidecar in 0..10 {
            for _ in 0..64 {
                entry.record_end(sidecar, false, now);
            }
        }
    }
    let mut started_count = 0;
    let mut in_flight: Vec<usize> = Vec::new();
    let mut turn = 0;
    while entries.iter().any(|entry| !entry.is_ejected(3)) {
        while in_flight.len() < SLOT_COUNT as usize {
            let candidates = (0..3).map(|step| (turn + step) % 3);
            let Some(entry) = candidates
                .into_iter()
                .find(|&entry| !entries[entry].is_ejected(3))
            else {
                break;
            };
            turn = entry + 1;
            in_flight.push(entry);
            started_count += 1;
        }
        let entry = in_flight.remove(0);
        entries[entry].record_end(3, true, now);
    }
    assert!(
        started_count <= 3 * SLOT_COUNT,
        "{started_count} tasks started"
    );
}

/// Returns counts of 100 successes and `failed_count` failures.
fn counts_after_successes(failed_count: u64) -> EndedCounts {
    EndedCounts {
        ended_count: 100 + failed_count,
        failed_count,
    }
}

#[test]
fn failures_of_all_entries_together_eject_a_minion() {
    let now = Instant::now();
    let mut health = health(4, 50);
    assert_eq!(
        health.record_counts(0, counts_after_successes(0), now),
        None
    );
    assert_eq!(
        health.record_counts(0, counts_after_successes(4), now),
        None
    );
    let change = health.record_counts(0, counts_after_successes(5), now);
    assert_eq!(change, Some(HealthChange::Ejected));
}

#[test]
fn outdated_counts_are_ignored() {
    let now = Instant::now();
    let mut health = health(4, 50);
    health.record_counts(0, counts_after_successes(4), now);
    for _ in 0..8 {
        assert_eq!(
            health.record_counts(0, counts_after_successes(1), now),
            None
        );
        assert_eq!(
            health.record_counts(0, counts_after_successes(4), now),
            None
        );
    }
    assert!(!health.is_ejected(0));
}

#[test]
fn long_history_with_few_failures_ejects_no_minion() {
    let now = Instant::now();
    let mut health = health(4, 50);
    let counts = EndedCounts {
        ended_count: 10_000,
        failed_count: 300,
    };
    assert_eq!(health.record_counts(0, counts, now), None);
    assert!(health.may_start(0, 7, now));
}

#[test]
fn minion_that_fails_while_others_succeed_gets_one_task_at_a_time() {
    let now = Instant::now();
    let mut health = health(4, 50);
    for sidecar in 0..4 {
        health.record_counts(sidecar, counts_after_successes(0), now);
    }
    health.record_counts(0, counts_after_successes(2), now);
    assert!(!health.may_start(0, 1, now));
    assert!(health.may_start(0, 0, now));
    health.record_end(0, false, now);
    assert!(health.may_start(0, 1, now));
}

#[test]
fn tasks_that_fail_on_all_minions_limit_no_minion() {
    let now = Instant::now();
    let mut health = health(4, 50);
    for _ in 0..3 {
        for sidecar in 0..4 {
            health.record_end(sidecar, true, now);
        }
    }
    assert!((0..4).all(|sidecar| health.may_start(sidecar, 7, now)));
}

#[test]
fn occasional_failures_eject_no_minion() {
    let mut rng = StdRng::seed_from_u64(5);
    let now = Instant::now();
    let mut health = health(10, 50);
    for _ in 0..1_000 {
        for sidecar in 0..10 {
            assert_eq!(health.record_end(sidecar, rng.random_bool(0.05), now), None);
        }
    }
}

#[test]
fn tasks_that_fail_on_all_minions_eject_at_most_one_minion() {
    let now = Instant::now();
    let mut health = health(10, 50);
    for _ in 0..100 {
        for sidecar in 0..10 {
            health.record_end(sidecar, true, now);
        }
    }
    assert!(health.ejected_count() <= 1);
}

#[test]
fn trial_allows_one_task_and_its_success_readmits_the_minion() {
    let now = Instant::now();
    let mut health = health(4, 50);
    eject(&mut health, 0, now);
    assert!(!health.may_start(0, 0, now));
    let later = now + Duration::from_secs(1);
    assert!(health.may_start(0, 0, later));
    assert!(!health.may_start(0, 1, later));
    assert_eq!(
        health.record_end(0, false, later),
        Some(HealthChange::Readmitted)
    );
    assert!(health.may_start(0, 7, later));
}

#[test]
fn backoff_between_failed_trials_grows_up_to_a_limit() {
    let mut now = Instant::now();
    let mut health = health(4, 50);
    eject(&mut health, 0, now);
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let ejected_at = now;
        while !health.may_start(0, 0, now) {
            now += Duration::from_millis(10);
        }
        backoffs.push(now - ejected_at);
        assert_eq!(
            health.record_end(0, true, now),
            Some(HealthChange::TrialFailed)
        );
    }
    assert!(backoffs[0] <= Duration::from_secs(1));
    assert!(backoffs[4] >= Duration::from_secs(8) && backoffs[4] <= Duration::from_secs(17));
    assert!(backoffs[7] <= Duration::from_secs(61));
}

#[test]
fn outcome_of_a_task_in_flight_at_the_ejection_is_not_a_trial() {
    let now = Instant::now();
    let mut health = health(4, 50);
    eject(&mut health, 0, now);
    assert_eq!(health.record_end(0, false, now), None);
    assert!(health.is_ejected(0));
}

#[test]
fn shrinking_service_readmits_ejected_minions() {
    let now = Instant::now();
    let mut health = health(4, 50);
    eject(&mut health, 0, now);
    // The failures of minion 0 do not raise the rate of the others, because it is ejected.
    eject(&mut health, 1, now);
    health.remove_minion(3);
    assert_eq!(health.ejected_count(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn ejections_never_exceed_the_configured_percentage(
        percent in 0..101_u32,
        steps in prop::collection::vec((0..12_u64, 0..10_u8, 0..400_u64), 1..400),
    ) {
        let mut now = Instant::now();
        let mut health = health(10, percent);
        let mut minions: std::collections::BTreeSet<u64> = (0..10).collect();
        for (sidecar, kind, wait_ms) in steps {
            now += Duration::from_millis(wait_ms);
            match kind {
                0 => {
                    health.add_minion(sidecar);
                    minions.insert(sidecar);
                }
                1 => {
                    health.remove_minion(sidecar);
                    minions.remove(&sidecar);
                }
                // Half of the minions fail all tasks.
                _ => drop(health.record_end(sidecar, sidecar % 2 == 0, now)),
            }
            prop_assert!(health.ejected_count() * 100 <= minions.len() as u32 * percent);
        }
    }
}
