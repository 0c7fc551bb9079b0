//! Tests of the start registry, which must never report a started task as not started.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use knapweedrill::job::TaskId;
use knapweedrill::sidecar::{StartRefusal, StartRegistry};
use proptest::prelude::*;

const RETENTION: Duration = Duration::from_secs(300);

fn task(owner: u64, job: u128, index: u32) -> TaskId {
    TaskId { owner, job, index }
}

#[test]
fn a_task_starts_at_most_once() {
    let now = Instant::now();
    let mut registry = StartRegistry::new();
    assert_eq!(registry.record_start(task(1, 1, 0), 5, now), Ok(()));
    assert_eq!(
        registry.record_start(task(1, 1, 0), 5, now),
        Err(StartRefusal::StartedBefore)
    );
    assert_eq!(registry.record_start(task(1, 1, 1), 5, now), Ok(()));
}

#[test]
fn a_fenced_job_starts_nothing_and_reports_earlier_starts() {
    let now = Instant::now();
    let mut registry = StartRegistry::new();
    assert!(!registry.fence(1, 5, 7, now));
    assert_eq!(
        registry.record_start(task(1, 7, 0), 5, now),
        Err(StartRefusal::JobFenced)
    );
    registry
        .record_start(task(1, 8, 0), 5, now)
        .expect("a new task");
    assert!(registry.fence(1, 5, 8, now));
}

#[test]
fn a_start_that_reached_no_minion_can_be_reverted() {
    let now = Instant::now();
    let mut registry = StartRegistry::new();
    registry
        .record_start(task(1, 1, 0), 5, now)
        .expect("a new task");
    registry.revert_start(task(1, 1, 0), 5, now);
    assert!(!registry.may_have_started(task(1, 1, 0), 5));
    assert_eq!(registry.record_start(task(1, 1, 0), 5, now), Ok(()));
}

#[test]
fn tasks_of_an_evicted_generation_count_as_started_and_are_refused() {
    let now = Instant::now();
    let mut registry = StartRegistry::new();
    registry
        .record_start(task(1, 1, 0), 5, now)
        .expect("a new task");
    registry.evict_older_than(RETENTION, now + RETENTION + Duration::from_secs(1));
    assert_eq!(registry.job_count(), 0);
    assert!(registry.may_have_started(task(1, 1, 0), 5));
    assert!(registry.fence(1, 4, 99, now));
    assert_eq!(
        registry.record_start(task(1, 99, 0), 5, now),
        Err(StartRefusal::JobFenced)
    );
    assert!(!registry.may_have_started(task(1, 1, 0), 6));
}

/// A random call of the registry.
#[derive(Debug, Clone)]
enum Step {
    Start { owner: u64, job: u128, index: u32 },
    Fence { owner: u64, job: u128 },
    Evict { elapsed_s: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2u64, 0..12u128, 0..4u32)
            .prop_map(|(owner, job, index)| Step::Start { owner, job, index }),
        2 => (0..2u64, 0..12u128).prop_map(|(owner, job)| Step::Fence { owner, job }),
        1 => (0..400u64).prop_map(|elapsed_s| Step::Evict { elapsed_s }),
    ]
}

/// Returns the generation of a job, which is fixed by its number.
fn generation_of(job: u128) -> u32 {
    u32::try_from(job / 3).expect("few jobs")
}

proptest! {
    #[test]
    fn no_task_starts_twice_and_no_job_after_its_fence(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut registry = StartRegistry::new();
        let mut started = HashSet::new();
        let mut fenced = HashSet::new();
        for step in steps {
            match step {
                Step::Start { owner, job, index } => {
                    let task = task(owner, job, index);
                    if registry.record_start(task, generation_of(job), now).is_ok() {
                        prop_assert!(!fenced.contains(&(owner, job)));
                        prop_assert!(started.insert((owner, job, index)));
                    }
                }
                Step::Fence { owner, job } => {
                    let may_have_started = registry.fence(owner, generation_of(job), job, now);
                    let has_started = started.iter().any(|known| (known.0, known.1) == (owner, job));
                    prop_assert!(may_have_started || !has_started);
                    fenced.insert((owner, job));
                }
                Step::Evict { elapsed_s } => {
                    now += Duration::from_secs(elapsed_s);
                    registry.evict_older_than(RETENTION, now);
                }
            }
            for (owner, job, index) in &started {
                let task = task(*owner, *job, *index);
                prop_assert!(registry.may_have_started(task, generation_of(*job)));
            }
        }
    }
}
