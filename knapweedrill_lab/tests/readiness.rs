//! Test that an entry which reports ready can place tasks.

use std::time::Duration;

use knapweedrill_lab::harness::{ClusterBuilder, JobOutcome, JobRequest, MinionSpec, wait_until};
use knapweedrill_lab::stand_in::minion::TaskPayload;

const READY_TIMEOUT: Duration = Duration::from_secs(10);
const ADDED_ENTRY_COUNT: usize = 4;

#[test]
fn a_new_entry_completes_its_first_job() {
    let mut cluster = ClusterBuilder::new()
        .entries(1)
        .minions(3, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    for number in 0..ADDED_ENTRY_COUNT {
        let added = cluster.start_entry().expect("the entry starts");
        let api = cluster.entry(added).api();
        let token = || api.owner().ok();
        wait_until("an owner token", READY_TIMEOUT, || token().is_some())
            .expect("the entry is ready");
        let token = token().expect("the entry stays ready");
        let payload = TaskPayload::new(Duration::from_millis(1), "proof");
        let job = JobRequest::new("tin-a", "proof")
            .wait(Duration::from_secs(5))
            .task(&payload);

        let response = api.submit(&token, &format!("first-{number}"), &job);

        let response = response.expect("the entry responds");
        assert_eq!(response.outcome, JobOutcome::Complete, "{response:?}");
    }
}
