//! End-to-end test of a job over a caller, entries, sidecars and minions in separate processes.

use std::time::Duration;

use knapweedrill_lab::checker::{self, History, RecordingClient};
use knapweedrill_lab::harness::{ClusterBuilder, JobRequest, MinionSpec};
use knapweedrill_lab::stand_in::minion::TaskPayload;

fn job(task_count: u64) -> JobRequest {
    let job = JobRequest::new("tin-a", "proof").wait(Duration::from_secs(20));
    (0..task_count).fold(job, |job, index| {
        job.task(&TaskPayload::new(
            Duration::from_millis(10 + index),
            format!("part {index}"),
        ))
    })
}

#[test]
fn a_job_completes_and_a_resubmission_to_another_entry_starts_no_task() {
    let mut cluster = ClusterBuilder::new()
        .entries(2)
        .minions(3, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    let first = cluster.entry(0).api();
    let second = cluster.entry(1).api();
    let token = first.owner().expect("a ready entry hands out a token");
    let mut history = History::new();

    let job = job(40);
    let call = RecordingClient::new("entry-0", first);
    history.add_submission(call.submit(token, "order-1", &job));
    let call = RecordingClient::new("entry-1", second);
    history.add_submission(call.submit(token, "order-1", &job));
    for (number, minion) in cluster.minions().iter().enumerate() {
        let starts = minion.starts().expect("the minion reports its starts");
        history.observe_minion(format!("minion-{number}"), &starts);
    }

    let answers: Vec<_> = history
        .submissions()
        .iter()
        .map(|submission| format!("{:?}", submission.answer))
        .collect();
    assert!(
        answers.iter().all(|answer| answer.contains("Complete")),
        "{answers:?}"
    );
    assert_eq!(history.starts().count(), 40);
    let report = checker::check(&history);
    assert!(report.is_clean(), "{report}");
}
