//! An entry that says ready can hand out tasks.

use std::time::Duration;

use knapweedrill_lab::harness::{ClusterBuilder, JobOutcome, JobRequest, MinionSpec, wait_until};
use knapweedrill_lab::stand_in::minion::TaskPayload;

const READY_BOUND: Duration = Duration::from_secs(10);
const LATE_ENTRY_COUNT: usize = 4;

#[test]
fn the_first_job_of_an_entry_that_joins_is_run() {
    let mut cluster = ClusterBuilder::new()
        .entries(1)
        .minions(3, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    for number in 0..LATE_ENTRY_COUNT {
        let late = cluster.start_entry().expect("the entry starts");
        let api = cluster.entry(late).api();
        let token = || api.owner().ok();
        wait_until("an owner token", READY_BOUND, || token().is_some())
            .expect("the entry is ready");
        let token = token().expect("readiness lasts");
        let payload = TaskPayload::new(Duration::from_millis(1), "proof");
        let job = JobRequest::new("tin-a", "proof")
            .wait(Duration::from_secs(5))
            .task(&payload);

        let answer = api.submit(&token, &format!("first-{number}"), &job);

        let answer = answer.expect("the entry answers");
        assert_eq!(answer.outcome, JobOutcome::Complete, "{answer:?}");
    }
}
