//! A planned stop of an entry cuts no request, and sends late callers elsewhere.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::contract::OwnerToken;
use knapweedrill_lab::harness::{
    ClusterBuilder, EntryApi, HttpResponse, JobOutcome, JobRequest, JobResponse, MinionSpec,
};
use knapweedrill_lab::stand_in::minion::TaskPayload;

const CALLER_COUNT: usize = 16;
const WARM_UP: Duration = Duration::from_millis(500);
const STOP_BOUND: Duration = Duration::from_secs(30);

/// A submission to the entry that stops.
struct Submission {
    began_at: Instant,
    /// None if the connection was refused or broke.
    answer: Option<HttpResponse>,
}

/// Submits short jobs, one after the other, until the entry has exited.
fn submit_on(
    api: EntryApi,
    token: OwnerToken,
    caller: usize,
    has_exited: &AtomicBool,
) -> Vec<Submission> {
    let payload = TaskPayload::new(Duration::from_millis(20), "proof");
    let job = JobRequest::new("tin-a", "proof")
        .wait(Duration::from_secs(5))
        .task(&payload);
    let mut submissions = Vec::new();
    while !has_exited.load(Ordering::Acquire) {
        let key = format!("order-{caller}-{}", submissions.len());
        let began_at = Instant::now();
        let answer = api.submit_raw(&token, &key, &job).ok();
        submissions.push(Submission { began_at, answer });
    }
    submissions
}

/// Returns whether an answer is whole, or a refusal that says that the entry is stopping.
fn is_answer_of_a_stop(answer: &HttpResponse) -> bool {
    let Ok(job) = answer.json::<JobResponse>() else {
        return false;
    };
    job.outcome == JobOutcome::Complete || job.reason.as_deref() == Some("shutting-down")
}

fn assert_nothing_cut(submissions: &[Submission], stopped_at: Instant) {
    for submission in submissions {
        match &submission.answer {
            Some(answer) => assert!(is_answer_of_a_stop(answer), "{answer:?}"),
            None => assert!(submission.began_at > stopped_at, "a request was cut"),
        }
    }
}

#[test]
fn callers_that_go_on_during_a_stop_get_answers_or_refusals() {
    let mut cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    let api = cluster.entry(0).api();
    let token = api.owner().expect("the entry hands out a token");
    let has_exited = AtomicBool::new(false);

    let (submissions, stopped_at) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                scope.spawn({
                    let has_exited = &has_exited;
                    move || submit_on(api, token, caller, has_exited)
                })
            })
            .collect();
        thread::sleep(WARM_UP);
        let stopped_at = Instant::now();
        let process = cluster.entry(0).process();
        let terminated = process.terminate();
        let exit = process.wait_exit(STOP_BOUND);
        has_exited.store(true, Ordering::Release);
        let submissions: Vec<_> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        terminated.expect("the entry is told to stop");
        assert!(exit.expect("the entry exits").success());
        (submissions, stopped_at)
    });

    assert_nothing_cut(&submissions, stopped_at);
    let late_count = submissions
        .iter()
        .filter(|submission| submission.began_at > stopped_at && submission.answer.is_some())
        .count();
    assert!(late_count > 0, "no caller came during the stop");
}
