//! Admission control and retry budgets.

use std::time::{Duration, Instant};

use knapweedrill::contract::Limits;
use knapweedrill::entry::{Admission, AdmissionRefusal, JobSize, QueueTotals, RetryBudget};
use knapweedrill::job::Refusal;
use test_case::test_case;

fn limits() -> Limits {
    Limits {
        tasks_per_job: 100,
        queued_tasks: 1_000,
        queued_bytes: 10_000,
        payload_bytes: 500,
        deadline_max: Duration::from_secs(60),
    }
}

fn size() -> JobSize {
    JobSize {
        task_count: 10,
        payload_bytes: 1_000,
        largest_payload_bytes: 100,
        expected_work: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
    }
}

fn queued(task_count: u32, payload_bytes: u64) -> QueueTotals {
    QueueTotals {
        task_count,
        payload_bytes,
        expected_work: Duration::from_millis(100) * task_count,
    }
}

#[test]
fn job_within_the_limits_is_admitted() {
    let admission = Admission::new(limits(), Instant::now());
    let admitted = admission.admit(size(), queued(990, 9_000), Duration::ZERO);
    assert_eq!(admitted, Ok(()));
}

#[test_case(JobSize { task_count: 0, ..size() }; "without tasks")]
#[test_case(JobSize { task_count: 101, ..size() }; "with too many tasks")]
#[test_case(JobSize { payload_bytes: 10_001, ..size() }; "larger than the queue")]
#[test_case(JobSize { largest_payload_bytes: 501, ..size() }; "with too large a task")]
#[test_case(JobSize { deadline: Duration::from_secs(61), ..size() }; "with too long a deadline")]
fn job_over_a_limit_is_refused_without_a_retry_delay(size: JobSize) {
    let admission = Admission::new(limits(), Instant::now());
    let refused = admission.admit(size, QueueTotals::default(), Duration::ZERO);
    let expected = AdmissionRefusal {
        refusal: Refusal::Invalid,
        retry_after: None,
    };
    assert_eq!(refused, Err(expected));
}

#[test_case(queued(991, 0); "in tasks")]
#[test_case(queued(0, 9_001); "in bytes")]
fn full_queue_refuses_jobs_with_a_retry_delay(queued: QueueTotals) {
    let admission = Admission::new(limits(), Instant::now());
    let refused = admission
        .admit(size(), queued, Duration::ZERO)
        .expect_err("the queue is full");
    assert_eq!(refused.refusal, Refusal::Overloaded);
    assert!(refused.retry_after.is_some());
}

#[test]
fn job_whose_expected_wait_exceeds_its_deadline_is_refused() {
    let mut now = Instant::now();
    let mut admission = Admission::new(limits(), now);
    // Two seconds of work end per second.
    for _ in 0..200 {
        now += Duration::from_millis(50);
        admission.record_end(Duration::from_millis(100), queued(100, 0), now);
    }
    let admitted = admission.admit(size(), queued(100, 0), Duration::from_secs(10));
    assert_eq!(admitted, Ok(()));
    let refused = admission
        .admit(size(), queued(100, 0), Duration::from_secs(20))
        .expect_err("the expected wait exceeds the deadline");
    assert_eq!(refused.refusal, Refusal::Overloaded);
    assert_eq!(refused.retry_after, Some(Duration::from_millis(2_500)));
}

#[test]
fn ends_with_an_empty_queue_do_not_affect_the_throughput() {
    let mut now = Instant::now();
    let mut admission = Admission::new(limits(), now);
    for _ in 0..100 {
        now += Duration::from_secs(1);
        admission.record_end(Duration::from_millis(1), QueueTotals::default(), now);
    }
    let admitted = admission.admit(size(), queued(0, 0), Duration::from_secs(100));
    assert_eq!(admitted, Ok(()));
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(10);
    while budget.try_retry() {}
    let mut retry_count = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        retry_count += u32::from(budget.try_retry());
    }
    assert_eq!(retry_count, 100);
}

#[test]
fn balance_of_the_retry_budget_is_bounded() {
    let mut budget = RetryBudget::new(10);
    for _ in 0..100_000 {
        budget.record_first_attempt();
    }
    let retry_count = std::iter::from_fn(|| budget.try_retry().then_some(())).count();
    assert_eq!(retry_count, 10);
}
