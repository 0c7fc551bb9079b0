//! Test that a planned stop of an entry interrupts no request and rejects later ones.

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
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// A submission to the entry that is stopped.
struct Submission {
    started_at: Instant,
    /// `None` if the connection was refused or closed without a response.
    response: Option<HttpResponse>,
}

/// Submits short jobs sequentially until the entry has exited.
fn submit_until_exit(
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
        let started_at = Instant::now();
        let response = api.submit_raw(&token, &key, &job).ok();
        submissions.push(Submission {
            started_at,
            response,
        });
    }
    submissions
}

/// Returns whether a response reports a complete job or a rejection because the entry is stopping.
fn is_complete_or_shutting_down(response: &HttpResponse) -> bool {
    let Ok(job) = response.json::<JobResponse>() else {
        return false;
    };
    job.outcome == JobOutcome::Complete || job.reason.as_deref() == Some("shutting-down")
}

/// Asserts that every request from before the stop got a response, and that every response is a
/// complete job or a rejection because of the stop.
fn assert_no_request_interrupted(submissions: &[Submission], stopped_at: Instant) {
    for submission in submissions {
        match &submission.response {
            Some(response) => assert!(is_complete_or_shutting_down(response), "{response:?}"),
            None => assert!(
                submission.started_at > stopped_at,
                "a request from before the stop got no response"
            ),
        }
    }
}

#[test]
fn callers_during_a_planned_stop_get_results_or_rejections() {
    let mut cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    let api = cluster.entry(0).api();
    let token = api.owner().expect("the entry issues a token");
    let has_exited = AtomicBool::new(false);

    let (submissions, stopped_at) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                scope.spawn({
                    let has_exited = &has_exited;
                    move || submit_until_exit(api, token, caller, has_exited)
                })
            })
            .collect();
        thread::sleep(WARM_UP);
        let stopped_at = Instant::now();
        let process = cluster.entry(0).process();
        let terminated = process.terminate();
        let exit = process.wait_exit(STOP_TIMEOUT);
        has_exited.store(true, Ordering::Release);
        let submissions: Vec<_> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        terminated.expect("the signal is sent");
        assert!(exit.expect("the entry exits").success());
        (submissions, stopped_at)
    });

    assert_no_request_interrupted(&submissions, stopped_at);
    let late_count = submissions
        .iter()
        .filter(|submission| submission.started_at > stopped_at && submission.response.is_some())
        .count();
    assert!(
        late_count > 0,
        "no request that started during the stop got a response"
    );
}
