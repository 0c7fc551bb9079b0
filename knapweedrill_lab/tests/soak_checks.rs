//! The checks of the soak, each with a history that breaks it.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::{JobName, TaskName};
use knapweedrill_lab::soak::{Attempt, CalledJob, SeenRun, check_answers, check_calm};

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

fn job(name: u64, attempts: Vec<Attempt>) -> CalledJob {
    CalledJob {
        name,
        task_count: 2,
        attempts,
    }
}

fn run(job: u64, index: u32) -> SeenRun {
    let task = TaskName {
        job: JobName(job),
        step: 0,
        index,
    };
    (task, 0, 10)
}

#[test]
fn kept_promises_are_no_violation() {
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
    assert_eq!(check_answers(&jobs, &runs), Vec::<String>::new());
}

#[test]
fn a_refused_job_that_began_is_found() {
    let refused = [job(1, vec![attempt(Instant::now(), Some(503))])];
    assert_eq!(check_answers(&refused, &[run(1, 0)]).len(), 1);
}

#[test]
fn a_completed_job_of_which_a_task_never_began_is_found() {
    let completed = [job(1, vec![attempt(Instant::now(), Some(200))])];
    assert_eq!(check_answers(&completed, &[run(1, 0), run(1, 0)]).len(), 1);
}

#[test]
fn a_request_that_a_planned_stop_cuts_is_found() {
    let calm_since = Instant::now();
    let mut jobs: Vec<_> = (0..40)
        .map(|name| job(name, vec![attempt(calm_since + SECOND, Some(200))]))
        .collect();
    assert_eq!(check_calm(&jobs, calm_since), Vec::<String>::new());
    let cut = vec![
        attempt(calm_since + SECOND, None),
        attempt(calm_since + SECOND, Some(200)),
    ];
    jobs.push(job(40, cut));
    assert_eq!(check_calm(&jobs, calm_since).len(), 1);
    assert_eq!(check_calm(&jobs, calm_since + 2 * SECOND).len(), 0);
}

#[test]
fn callers_that_wait_in_vain_are_found_unless_they_are_few() {
    let calm_since = Instant::now();
    let history = |waiting_count: u64| -> Vec<_> {
        (0..40)
            .map(|name| {
                let mut first = attempt(calm_since + SECOND, Some(200));
                if name < waiting_count {
                    first = attempt(calm_since + SECOND, None);
                    first.ended_at = first.sent_at + 3 * SECOND;
                }
                job(
                    name,
                    vec![first, attempt(calm_since + 5 * SECOND, Some(200))],
                )
            })
            .collect()
    };
    assert_eq!(check_calm(&history(2), calm_since), Vec::<String>::new());
    assert_eq!(check_calm(&history(3), calm_since).len(), 1);
}

#[test]
fn a_system_that_does_not_recover_is_found() {
    let calm_since = Instant::now();
    let jobs: Vec<_> = (0..40)
        .map(|name| {
            let status = if name < 36 { 200 } else { 503 };
            job(name, vec![attempt(calm_since + SECOND, Some(status))])
        })
        .collect();
    assert_eq!(check_calm(&jobs, calm_since).len(), 1);
}
