//! What happens to the system while callers submit.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use knapweedrill::api::{
    ApplyOutcome as ApplyAnswerOutcome, ApplyResponse, ConfigurationResponse, ExpectedParent,
};

use super::configuration::with_queued_tasks;
use super::run::{ENTRY_COUNT, MINION_COUNT};
use crate::checker::{Apply, ApplyOutcome, History, RecordingClient, Submission};
use crate::harness::{Cluster, EntryApi, JobRequest};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// When the operators race, in per cent of the time in which callers submit.
const RACE_PERCENT: u32 = 30;
/// When a minion leaves.
const LEAVE_PERCENT: u32 = 50;
/// When an entry stops as planned.
const STOP_PERCENT: u32 = 70;

/// The minion that leaves.
const LEAVING_MINION: usize = MINION_COUNT - 1;
/// The entry that stops as planned.
pub(super) const STOPPING_ENTRY: usize = ENTRY_COUNT - 1;

/// Lets two operators race, a minion leave and an entry stop.
///
/// Returns when the entry was asked to stop, in microseconds since the Unix epoch.
pub(super) fn play(
    cluster: &mut Cluster,
    start: Instant,
    duration: Duration,
    history: &mut History,
    before_stop: impl FnOnce(EntryApi) -> Result<()>,
) -> Result<u64> {
    sleep_until(race_time(start, duration));
    race(cluster, history)?;
    history.add_submission(submit_refused_job(cluster.entry(0).api())?);
    sleep_until(start + duration * LEAVE_PERCENT / 100);
    cluster.minion(LEAVING_MINION).leave()?;
    sleep_until(start + duration * STOP_PERCENT / 100);
    let entry = cluster.entry(STOPPING_ENTRY);
    before_stop(entry.api())?;
    let begun_us = wall_us();
    entry.process().terminate()?;
    Ok(begun_us)
}

/// Returns when the operators race.
pub(super) fn race_time(start: Instant, duration: Duration) -> Instant {
    start + duration * RACE_PERCENT / 100
}

/// Submits a job of a team that the configuration does not have.
fn submit_refused_job(api: EntryApi) -> Result<Submission> {
    let payload = TaskPayload::new(Duration::from_millis(50), "refused");
    let job = JobRequest::new("nobody", "proof").task(&payload);
    let call = RecordingClient::new("entry-0", api);
    Ok(call.submit(api.owner()?, "refused", &job))
}

/// Lets two operators replace the same configuration at the same time.
fn race(cluster: &mut Cluster, history: &mut History) -> Result<()> {
    let version = cluster
        .entry(0)
        .api()
        .get("/v1/configuration")?
        .json::<ConfigurationResponse>()?
        .version
        .ok_or_else(|| eyre!("the entry has no configuration"))?;
    let parent: ExpectedParent = version.to_string().parse()?;
    let racers = [
        (cluster.entry(0).api(), 90_000),
        (cluster.entry(1).api(), 80_000),
    ];
    let applies = thread::scope(|scope| {
        let racers = racers.map(|(api, count)| scope.spawn(move || apply(api, parent, count)));
        racers.map(|racer| racer.join().expect("an operator does not panic"))
    });
    for apply in applies {
        history.add_apply(apply);
    }
    Ok(())
}

fn apply(api: EntryApi, parent: ExpectedParent, queued_tasks: u32) -> Apply {
    let answer = api.apply_with_parent(parent, &with_queued_tasks(queued_tasks));
    Apply {
        race: Some(0),
        answered_us: wall_us(),
        outcome: answer.map_or(ApplyOutcome::Unknown, |answer| outcome(&answer)),
    }
}

fn outcome(answer: &ApplyResponse) -> ApplyOutcome {
    match (answer.outcome, answer.version) {
        (ApplyAnswerOutcome::Accepted, Some(version)) => ApplyOutcome::Accepted(version),
        (ApplyAnswerOutcome::Accepted | ApplyAnswerOutcome::Unknown, _) => ApplyOutcome::Unknown,
        _ => ApplyOutcome::Refused,
    }
}

/// Sleeps until that time.
pub(super) fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
