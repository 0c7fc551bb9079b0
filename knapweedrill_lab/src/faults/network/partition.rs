//! All processes are parted from each other, while the log stays in reach; an operator applies.

use std::time::Duration;

use eyre::{Result, eyre};
use knapweedrill::api::{ApplyOutcome, ExpectedParent};

use crate::checker::{CONFIGURATION_DELAY_MAX, RecordingClient};
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::entry_name;
use crate::faults::{FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, DEFAULT_CONFIGURATION, EntryApi, LinkProxy, MinionSpec};
use crate::harness::{JobOutcome, JobRequest, wait_until};
use crate::stand_in::fault_proxy::DatagramFaults;
use crate::stand_in::minion::TaskPayload;

const DOMAIN_COUNT: usize = 2;
const TRY_COUNT_MAX: u32 = 40;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(DOMAIN_COUNT)
        .minions(DOMAIN_COUNT, &MinionSpec::new())
        .failure_domains(DOMAIN_COUNT)
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let here = run.cluster.entries()[0].api();
    let there = run.cluster.entries()[1].api();
    for proxy in proxies(&run) {
        proxy.stream().disconnect();
        proxy
            .datagrams()
            .set_faults(DatagramFaults::new().drop_percent(100));
    }
    let answer = here.apply_with_parent(
        ExpectedParent::Current,
        &format!("{DEFAULT_CONFIGURATION}; parted\n"),
    )?;
    let version = answer.version;
    let version = version.ok_or_else(|| eyre!("the change was not accepted: {answer:?}"))?;
    let is_there = is_in_force_in_time(there, version);
    for proxy in proxies(&run) {
        proxy.stream().restore();
        proxy.datagrams().set_faults(DatagramFaults::new());
    }
    let minions = run.cluster.minions().iter();
    let sidecars: Vec<EntryApi> = minions.map(|minion| minion.sidecar_api()).collect();
    let is_at_sidecars = sidecars
        .into_iter()
        .all(|api| is_in_force_in_time(api, version));
    let outcome = serve_again(&mut run, here)?;
    let mut report = run.finish()?;
    report.expect(
        answer.outcome == ApplyOutcome::Accepted && is_there,
        "the change is in force in the other failure domain in time, by the log",
    );
    report.expect(
        is_at_sidecars,
        "the change is in force at all sidecars in time after the partition",
    );
    report.expect(
        outcome == Some(JobOutcome::Complete),
        format!("jobs are done after the partition; got {outcome:?}"),
    );
    Ok(report)
}

fn proxies(run: &FaultRun) -> Vec<&LinkProxy> {
    let entries = run.cluster.entries().iter();
    let minions = run.cluster.minions().iter();
    let proxies = entries.filter_map(|entry| entry.link_proxy());
    proxies
        .chain(minions.filter_map(|minion| minion.link_proxy()))
        .collect()
}

fn is_in_force_in_time(api: EntryApi, version: u64) -> bool {
    let is_in_force = || {
        let answer = api.configuration();
        answer.is_ok_and(|answer| answer.version >= Some(version))
    };
    wait_until("the configuration", CONFIGURATION_DELAY_MAX, is_in_force).is_ok()
}

/// Submits jobs until one runs, and returns the last outcome.
fn serve_again(run: &mut FaultRun, api: EntryApi) -> Result<Option<JobOutcome>> {
    let call = RecordingClient::new(entry_name(0), api);
    let payload = TaskPayload::new(Duration::from_millis(20), "after");
    let job = JobRequest::new("tin-a", "proof").task(&payload);
    let mut outcome = None;
    for _ in 0..TRY_COUNT_MAX {
        let submission = call.submit(api.owner()?, "after", &job);
        outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        if outcome != Some(JobOutcome::NotRun) {
            break;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    Ok(outcome)
}
