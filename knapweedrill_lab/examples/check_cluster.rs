//! Starts a small cluster, submits a job through each entry and checks the observations.
//!
//! ```text
//! cargo build --workspace
//! cargo run --package knapweedrill_lab --example check_cluster
//! ```

use std::time::Duration;

use eyre::{Result, ensure};
use knapweedrill_lab::checker::{History, RecordingClient, check};
use knapweedrill_lab::harness::{ClusterBuilder, JobRequest, MinionSpec};
use knapweedrill_lab::stand_in::minion::TaskPayload;

const TASK_TIME: Duration = Duration::from_millis(50);

fn main() -> Result<()> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new())
        .minion(MinionSpec::new().speed_percent(50))
        .start()?;

    let mut job = JobRequest::new("tin-a", "proof");
    for number in 0..20 {
        job = job.task(&TaskPayload::new(TASK_TIME, format!("proof {number}")));
    }

    let mut history = History::new();
    for (number, entry) in cluster.entries().iter().enumerate() {
        let token = entry.api().owner()?;
        let client = RecordingClient::new(format!("entry-{number}"), entry.api());
        history.add_submission(client.submit(token, &format!("example-{number}"), &job));
    }
    for (number, minion) in cluster.minions().iter().enumerate() {
        history.observe_minion(format!("minion-{number}"), &minion.starts()?);
    }

    let report = check(&history);
    println!("{report}");
    ensure!(report.is_clean(), "the checker found violations");
    Ok(())
}
