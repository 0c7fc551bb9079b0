//! All processes are partitioned while the log stays reachable and an operator applies a
//! configuration.

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
const ATTEMPT_COUNT_MAX: u32 = 40;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(DOMAIN_COUNT)
        .minions(DOMAIN_COUNT, &MinionSpec::new())
        .failure_domains(DOMAIN_COUNT)
        .proxies();
    let mut run = FaultRun::start(case, seed, cluster)?;
    let applying_api = run.cluster.entries()[0].api();
    let other_api = run.cluster.entries()[1].api();
    for proxy in proxies(&run) {
        proxy.stream().disconnect();
        proxy
            .datagrams()
            .set_faults(DatagramFaults::new().drop_percent(100));
    }
    let response = applying_api.apply_with_parent(
        ExpectedParent::Current,
        &format!("{DEFAULT_CONFIGURATION}; parted\n"),
    )?;
    let version = response.version;
    let version =
        version.ok_or_else(|| eyre!("the entry did not accept the configuration: {response:?}"))?;
    let is_in_other_domain = is_in_force_in_time(other_api, version);
    for proxy in proxies(&run) {
        proxy.stream().restore();
        proxy.datagrams().set_faults(DatagramFaults::new());
    }
    let minions = run.cluster.minions().iter();
    let sidecars: Vec<EntryApi> = minions.map(|minion| minion.sidecar_api()).collect();
    let is_at_sidecars = sidecars
        .into_iter()
        .all(|api| is_in_force_in_time(api, version));
    let outcome = submit_until_accepted(&mut run, applying_api)?;
    let mut report = run.finish()?;
    report.expect(
        response.outcome == ApplyOutcome::Accepted && is_in_other_domain,
        "the change reaches the other failure domain through the log and is in force in time",
    );
    report.expect(
        is_at_sidecars,
        "the change is in force at all sidecars in time after the partition",
    );
    report.expect(
        outcome == Some(JobOutcome::Complete),
        format!("jobs complete after the partition; got {outcome:?}"),
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

/// Returns whether a configuration version is in force within [`CONFIGURATION_DELAY_MAX`].
fn is_in_force_in_time(api: EntryApi, version: u64) -> bool {
    let is_in_force = || {
        let response = api.configuration();
        response.is_ok_and(|response| response.version >= Some(version))
    };
    wait_until(
        "the configuration in force",
        CONFIGURATION_DELAY_MAX,
        is_in_force,
    )
    .is_ok()
}

/// Submits a job until it is not refused and returns the last outcome.
fn submit_until_accepted(run: &mut FaultRun, api: EntryApi) -> Result<Option<JobOutcome>> {
    let client = RecordingClient::new(entry_name(0), api);
    let payload = TaskPayload::new(Duration::from_millis(20), "after");
    let job = JobRequest::new("tin-a", "proof").task(&payload);
    let mut outcome = None;
    for _ in 0..ATTEMPT_COUNT_MAX {
        let submission = client.submit(api.owner()?, "after", &job);
        outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        if outcome != Some(JobOutcome::NotRun) {
            break;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    Ok(outcome)
}
