//! The checks of the soak test, each with a history that violates it.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::{JobName, TaskName};
use knapweedrill_lab::soak::{
    Attempt, ObservedRun, SubmittedJob, check_fault_free_phase, check_responses,
};

const SECOND: Duration = Duration::from_secs(1);

fn attempt(sent_at: Instant, status: Option<u16>) -> Attempt {
    Attempt {
        entry: 0,
        sent_at,
        ended_at: sent_at + SECOND,
        status,
        is_completed: status == Some(200),
    }
}

fn job(name: u64, attempts: Vec<Attempt>) -> SubmittedJob {
    SubmittedJob {
        name,
        task_count: 2,
        attempts,
    }
}

fn run(job: u64, index: u32) -> ObservedRun {
    let task = TaskName {
        job: JobName(job),
        step: 0,
        index,
    };
    (task, 0, 10)
}

#[test]
fn a_valid_history_has_no_violations() {
    let now = Instant::now();
    let jobs = [
        job(1, vec![attempt(now, Some(200))]),
        job(2, vec![attempt(now, Some(503))]),
        job(3, vec![attempt(now, None), attempt(now, Some(200))]),
        job(4, vec![attempt(now, None), attempt(now, Some(503))]),
    ];
    let runs = [
        run(1, 0),
        run(1, 1),
        run(3, 0),
        run(3, 1),
        run(3, 1),
        run(4, 0),
    ];
    assert_eq!(check_responses(&jobs, &runs), Vec::<String>::new());
}

#[test]
fn a_refused_job_with_a_started_task_is_detected() {
    let refused = [job(1, vec![attempt(Instant::now(), Some(503))])];
    assert_eq!(check_responses(&refused, &[run(1, 0)]).len(), 1);
}

#[test]
fn a_completed_job_with_a_task_that_never_started_is_detected() {
    let completed = [job(1, vec![attempt(Instant::now(), Some(200))])];
    assert_eq!(
        check_responses(&completed, &[run(1, 0), run(1, 0)]).len(),
        1
    );
}

#[test]
fn a_request_interrupted_by_a_planned_stop_is_detected() {
    let fault_free_since = Instant::now();
    let mut jobs: Vec<_> = (0..40)
        .map(|name| job(name, vec![attempt(fault_free_since + SECOND, Some(200))]))
        .collect();
    assert_eq!(
        check_fault_free_phase(&jobs, fault_free_since),
        Vec::<String>::new()
    );
    let interrupted = vec![
        attempt(fault_free_since + SECOND, None),
        attempt(fault_free_since + SECOND, Some(200)),
    ];
    jobs.push(job(40, interrupted));
    assert_eq!(check_fault_free_phase(&jobs, fault_free_since).len(), 1);
    assert_eq!(
        check_fault_free_phase(&jobs, fault_free_since + 2 * SECOND).len(),
        0
    );
}

#[test]
fn more_than_a_few_timeouts_are_detected() {
    let fault_free_since = Instant::now();
    let history = |timeout_count: u64| -> Vec<_> {
        (0..40)
            .map(|name| {
                let mut first = attempt(fault_free_since + SECOND, Some(200));
                if name < timeout_count {
                    first = attempt(fault_free_since + SECOND, None);
                    first.ended_at = first.sent_at + 3 * SECOND;
                }
                job(
                    name,
                    vec![first, attempt(fault_free_since + 5 * SECOND, Some(200))],
                )
            })
            .collect()
    };
    assert_eq!(
        check_fault_free_phase(&history(2), fault_free_since),
        Vec::<String>::new()
    );
    assert_eq!(
        check_fault_free_phase(&history(3), fault_free_since).len(),
        1
    );
}

#[test]
fn a_system_that_does_not_recover_is_detected() {
    let fault_free_since = Instant::now();
    let jobs: Vec<_> = (0..40)
        .map(|name| {
            let status = if name < 36 { 200 } else { 503 };
            job(name, vec![attempt(fault_free_since + SECOND, Some(status))])
        })
        .collect();
    assert_eq!(check_fault_free_phase(&jobs, fault_free_since).len(), 1);
}
