//! The task queue of an entry.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use knapweedrill::common::{Generation, JobId};
use knapweedrill::contract::{Class, Flow};
use knapweedrill::entry::{QueueTotals, QueuedJob, QueuedTask, TaskQueue};
use knapweedrill::job::TaskId;
use proptest::prelude::*;

fn job(job: JobId, generation: Generation, flow: Flow, expected_ms: &[u64]) -> QueuedJob {
    let tasks = expected_ms
        .iter()
        .enumerate()
        .map(|(index, &expected_ms)| QueuedTask {
            task: TaskId {
                owner: 1,
                job,
                index: index as u32,
            },
            attempt: 0,
            expected_run_time: Duration::from_millis(expected_ms),
            payload: vec![0; 10],
        })
        .collect();
    QueuedJob {
        job,
        generation,
        flow,
        tasks,
    }
}

fn flow(team: &str) -> Flow {
    Flow::new(team, Class::Normal)
}

fn take_jobs(queue: &mut TaskQueue, flow: &Flow) -> Vec<JobId> {
    std::iter::from_fn(|| queue.take(flow, None, |_| true))
        .map(|taken| taken.task.task.job)
        .collect()
}

#[test]
fn longest_task_of_a_job_is_taken_first() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[100, 900, 300, 900]), now);
    let taken: Vec<u32> = std::iter::from_fn(|| queue.take(&flow("a"), None, |_| true))
        .map(|taken| taken.task.task.index)
        .collect();
    assert_eq!(taken, [1, 3, 2, 0]);
}

#[test]
fn short_job_is_taken_before_an_older_large_one() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[400; 440]), now);
    queue.push_job(
        job(2, 0, flow("a"), &[400; 3]),
        now + Duration::from_secs(1),
    );
    assert_eq!(take_jobs(&mut queue, &flow("a"))[..3], [2, 2, 2]);
}

#[test]
fn aged_large_job_is_taken_before_a_short_one() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[400; 440]), now);
    queue.push_job(
        job(2, 0, flow("a"), &[400; 3]),
        now + Duration::from_secs(20),
    );
    assert_eq!(take_jobs(&mut queue, &flow("a"))[0], 1);
}

#[test]
fn ineligible_generations_are_skipped() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 1, flow("a"), &[100]), now);
    queue.push_job(job(2, 2, flow("a"), &[100, 100]), now);
    let demands = queue.demands(|generation| generation == 2);
    assert_eq!(demands[0].task_count, 2);
    let taken = queue.take(&flow("a"), None, |generation| generation == 2);
    assert_eq!(taken.map(|taken| taken.task.task.job), Some(2));
    assert_eq!(
        queue.take(&flow("a"), None, |generation| generation == 3),
        None
    );
}

#[test]
fn take_any_prefers_urgent_classes_and_alternates_between_teams() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[100; 3]), now);
    queue.push_job(job(2, 0, flow("b"), &[100; 3]), now);
    queue.push_job(job(3, 0, Flow::new("c", Class::Urgent), &[100]), now);
    queue.push_job(job(4, 0, Flow::new("c", Class::Bulk), &[100]), now);
    let jobs: Vec<JobId> = std::iter::from_fn(|| queue.take_any(None, |_| true))
        .map(|taken| taken.task.task.job)
        .collect();
    assert_eq!(jobs[0], 3);
    assert_eq!(jobs[7], 4);
    assert!(jobs[1..7].chunks(2).all(|pair| pair[0] != pair[1]));
}

#[test]
fn requeued_task_is_taken_first_with_the_next_attempt() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[100, 900]), now);
    let taken = queue
        .take(&flow("a"), None, |_| true)
        .expect("a task waits");
    assert!(queue.requeue(taken.task));
    let again = queue
        .take(&flow("a"), None, |_| true)
        .expect("a task waits");
    assert_eq!((again.task.task.index, again.task.attempt), (1, 1));
}

#[test]
fn task_is_requeued_after_all_tasks_of_its_job_were_handed_out() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[100]), now);
    let taken = queue.take_any(None, |_| true).expect("a task waits");
    assert_eq!(queue.demands(|_| true), vec![]);
    assert!(queue.requeue(taken.task));
    assert_eq!(queue.demands(|_| true)[0].task_count, 1);
}

#[test]
fn removing_a_job_removes_its_waiting_tasks() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    queue.push_job(job(1, 0, flow("a"), &[100; 5]), now);
    let taken = queue.take_any(None, |_| true).expect("a task waits");
    assert_eq!(queue.remove_job(1).len(), 4);
    assert!(!queue.requeue(taken.task));
    assert_eq!(queue.totals(), QueueTotals::default());
    assert_eq!(queue.take_any(None, |_| true), None);
}

#[test]
fn work_ahead_covers_the_same_and_more_urgent_classes_of_the_team() {
    let now = Instant::now();
    let mut queue = TaskQueue::new(now);
    for (id, class) in Class::ALL.into_iter().enumerate() {
        queue.push_job(job(id as JobId, 0, Flow::new("a", class), &[100; 3]), now);
    }
    queue.push_job(job(9, 0, flow("b"), &[100; 3]), now);
    queue.take(&flow("a"), None, |_| true);
    assert_eq!(queue.work_ahead(&flow("a")), Duration::from_millis(500));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn every_task_is_handed_out_once_and_the_totals_agree(
        steps in prop::collection::vec((0..4_u8, 0..6_u128, 1..500_u64, 1..6_usize), 1..150),
    ) {
        let now = Instant::now();
        let mut queue = TaskQueue::new(now);
        let mut waiting: HashSet<TaskId> = HashSet::new();
        let mut handed_out: Vec<QueuedTask> = Vec::new();
        let mut pushed = HashSet::new();
        for (kind, id, expected_ms, task_count) in steps {
            let flow = Flow::new(["a", "b"][(id % 2) as usize], Class::ALL[(id % 3) as usize]);
            match kind {
                0 if pushed.insert(id) => {
                    let new = job(id, (id % 2) as u32, flow, &vec![expected_ms; task_count]);
                    waiting.extend(new.tasks.iter().map(|task| task.task));
                    queue.push_job(new, now + Duration::from_millis(expected_ms));
                }
                1 => {
                    let taken = queue.take_any(None, |_| true);
                    prop_assert_eq!(taken.is_some(), !waiting.is_empty());
                    if let Some(taken) = taken {
                        prop_assert!(waiting.remove(&taken.task.task));
                        handed_out.push(taken.task);
                    }
                }
                2 => if let Some(task) = handed_out.pop() {
                    let id = task.task;
                    prop_assert_eq!(queue.requeue(task), pushed.contains(&id.job));
                    if pushed.contains(&id.job) {
                        waiting.insert(id);
                    }
                },
                3 if task_count == 1 => {
                    let removed = queue.remove_job(id);
                    pushed.remove(&id);
                    handed_out.retain(|task| task.task.job != id);
                    for task in removed {
                        prop_assert!(waiting.remove(&task));
                    }
                }
                _ => {}
            }
            let demanded: u32 = queue.demands(|_| true).iter().map(|demand| demand.task_count).sum();
            prop_assert_eq!(demanded as usize, waiting.len());
            prop_assert_eq!(queue.totals().task_count as usize, waiting.len());
            prop_assert_eq!(queue.totals().payload_bytes as usize, 10 * waiting.len());
        }
    }
}
