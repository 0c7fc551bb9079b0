//! What a sidecar remembers of its starts never errs towards "never started".

use std::collections::HashSet;
use std::time::{Duration, Instant};

use knapweedrill::job::TaskId;
use knapweedrill::sidecar::{StartMemory, StartRefusal};
use proptest::prelude::*;

const MEMORY: Duration = Duration::from_secs(300);

fn task(owner: u64, job: u128, index: u32) -> TaskId {
    TaskId { owner, job, index }
}

#[test]
fn a_task_starts_once() {
    let now = Instant::now();
    let mut memory = StartMemory::new();
    assert_eq!(memory.start(task(1, 1, 0), 5, now), Ok(()));
    assert_eq!(
        memory.start(task(1, 1, 0), 5, now),
        Err(StartRefusal::StartedBefore)
    );
    assert_eq!(memory.start(task(1, 1, 1), 5, now), Ok(()));
}

#[test]
fn a_fenced_job_starts_nothing_and_tells_what_was_started() {
    let now = Instant::now();
    let mut memory = StartMemory::new();
    assert!(!memory.fence(1, 5, 7, now));
    assert_eq!(
        memory.start(task(1, 7, 0), 5, now),
        Err(StartRefusal::JobFenced)
    );
    memory.start(task(1, 8, 0), 5, now).expect("a new task");
    assert!(memory.fence(1, 5, 8, now));
}

#[test]
fn a_start_that_reached_nobody_can_be_taken_back() {
    let now = Instant::now();
    let mut memory = StartMemory::new();
    memory.start(task(1, 1, 0), 5, now).expect("a new task");
    memory.undo(task(1, 1, 0), 5, now);
    assert!(!memory.may_have_started(task(1, 1, 0), 5));
    assert_eq!(memory.start(task(1, 1, 0), 5, now), Ok(()));
}

#[test]
fn a_forgotten_generation_counts_as_started_and_starts_nothing_more() {
    let now = Instant::now();
    let mut memory = StartMemory::new();
    memory.start(task(1, 1, 0), 5, now).expect("a new task");
    memory.forget(MEMORY, now + MEMORY + Duration::from_secs(1));
    assert_eq!(memory.job_count(), 0);
    assert!(memory.may_have_started(task(1, 1, 0), 5));
    assert!(memory.fence(1, 4, 99, now));
    assert_eq!(
        memory.start(task(1, 99, 0), 5, now),
        Err(StartRefusal::JobFenced)
    );
    assert!(!memory.may_have_started(task(1, 1, 0), 6));
}

/// A step of a run against the memory.
#[derive(Debug, Clone)]
enum Step {
    Start { owner: u64, job: u128, index: u32 },
    Fence { owner: u64, job: u128 },
    Forget { after_s: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2u64, 0..12u128, 0..4u32)
            .prop_map(|(owner, job, index)| Step::Start { owner, job, index }),
        2 => (0..2u64, 0..12u128).prop_map(|(owner, job)| Step::Fence { owner, job }),
        1 => (0..400u64).prop_map(|after_s| Step::Forget { after_s }),
    ]
}

/// Jobs keep the generation that their number gives them.
fn generation_of(job: u128) -> u32 {
    u32::try_from(job / 3).expect("few jobs")
}

proptest! {
    #[test]
    fn no_task_starts_twice_and_no_job_after_its_fence(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut memory = StartMemory::new();
        let mut started = HashSet::new();
        let mut fenced = HashSet::new();
        for step in steps {
            match step {
                Step::Start { owner, job, index } => {
                    let task = task(owner, job, index);
                    if memory.start(task, generation_of(job), now).is_ok() {
                        prop_assert!(!fenced.contains(&(owner, job)));
                        prop_assert!(started.insert((owner, job, index)));
                    }
                }
                Step::Fence { owner, job } => {
                    let may_have = memory.fence(owner, generation_of(job), job, now);
                    let has = started.iter().any(|known| (known.0, known.1) == (owner, job));
                    prop_assert!(may_have || !has);
                    fenced.insert((owner, job));
                }
                Step::Forget { after_s } => {
                    now += Duration::from_secs(after_s);
                    memory.forget(MEMORY, now);
                }
            }
            for (owner, job, index) in &started {
                let task = task(*owner, *job, *index);
                prop_assert!(memory.may_have_started(task, generation_of(*job)));
            }
        }
    }
}
