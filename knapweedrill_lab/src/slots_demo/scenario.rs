//! The events that occur while callers submit jobs.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use knapweedrill::api::{
    ApplyOutcome as ApplyResponseOutcome, ApplyResponse, ConfigurationResponse, ExpectedParent,
};

use super::configuration::with_queued_tasks;
use super::run::{ENTRY_COUNT, MINION_COUNT};
use crate::checker::{Apply, ApplyOutcome, History, RecordingClient, Submission};
use crate::harness::{Cluster, EntryApi, JobRequest};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// When the operators race, in per cent of the time in which callers submit jobs.
const RACE_PERCENT: u32 = 30;
/// When a minion leaves, in per cent of the same time.
const LEAVE_PERCENT: u32 = 50;
/// When an entry stops as planned, in per cent of the same time.
const STOP_PERCENT: u32 = 70;

/// The minion that leaves.
const LEAVING_MINION: usize = MINION_COUNT - 1;
/// The entry that stops as planned.
pub(super) const STOPPING_ENTRY: usize = ENTRY_COUNT - 1;

/// Runs the race of two operators, the departure of a minion and the stop of an entry.
///
/// Calls `before_stop` with the entry that is about to stop. Returns when the entry was asked to
/// stop, in microseconds since the Unix epoch.
pub(super) fn run(
    cluster: &mut Cluster,
    start: Instant,
    duration: Duration,
    history: &mut History,
    before_stop: impl FnOnce(EntryApi) -> Result<()>,
) -> Result<u64> {
    sleep_until(race_time(start, duration));
    run_race(cluster, history)?;
    history.add_submission(submit_refused_job(cluster.entry(0).api())?);
    sleep_until(start + duration * LEAVE_PERCENT / 100);
    cluster.minion(LEAVING_MINION).leave()?;
    sleep_until(start + duration * STOP_PERCENT / 100);
    let entry = cluster.entry(STOPPING_ENTRY);
    before_stop(entry.api())?;
    let requested_us = wall_us();
    entry.process().terminate()?;
    Ok(requested_us)
}

/// Returns the time of the race of the operators.
pub(super) fn race_time(start: Instant, duration: Duration) -> Instant {
    start + duration * RACE_PERCENT / 100
}

/// Submits a job of a team that is missing in the configuration.
fn submit_refused_job(api: EntryApi) -> Result<Submission> {
    let payload = TaskPayload::new(Duration::from_millis(50), "refused");
    let job = JobRequest::new("nobody", "proof").task(&payload);
    let client = RecordingClient::new("entry-0", api);
    Ok(client.submit(api.owner()?, "refused", &job))
}

/// Makes two operators replace the same configuration concurrently.
fn run_race(cluster: &mut Cluster, history: &mut History) -> Result<()> {
    let version = cluster
        .entry(0)
        .api()
        .get("/v1/configuration")?
        .json::<ConfigurationResponse>()?
        .version
        .ok_or_else(|| eyre!("entry-0 has no configuration in force"))?;
    let parent: ExpectedParent = version.to_string().parse()?;
    let operators = [
        (cluster.entry(0).api(), 90_000),
        (cluster.entry(1).api(), 80_000),
    ];
    let applies = thread::scope(|scope| {
        let operators =
            operators.map(|(api, count)| scope.spawn(move || apply(api, parent, count)));
        operators.map(|operator| operator.join().expect("an operator does not panic"))
    });
    for apply in applies {
        history.add_apply(apply);
    }
    Ok(())
}

fn apply(api: EntryApi, parent: ExpectedParent, queued_tasks: u32) -> Apply {
    let response = api.apply_with_parent(parent, &with_queued_tasks(queued_tasks));
    Apply {
        race: Some(0),
        answered_us: wall_us(),
        outcome: response.map_or(ApplyOutcome::Unknown, |response| apply_outcome(&response)),
    }
}

fn apply_outcome(response: &ApplyResponse) -> ApplyOutcome {
    match (response.outcome, response.version) {
        (ApplyResponseOutcome::Accepted, Some(version)) => ApplyOutcome::Accepted(version),
        (ApplyResponseOutcome::Accepted | ApplyResponseOutcome::Unknown, _) => {
            ApplyOutcome::Unknown
        }
        _ => ApplyOutcome::Refused,
    }
}

/// Sleeps until `time`; returns at once if it has passed.
pub(super) fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
