//! An operator who applies configurations, and the check of the versions in force.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};
use knapweedrill::api::{ApplyOutcome as Outcome, ApplyResponse, EventsResponse, ExpectedParent};
use knapweedrill::contract::ConfigurationVersion;
use knapweedrill::event::EventKind;

use crate::checker::{Apply, ApplyOutcome, Availability, CONFIGURATION_DELAY_MAX, RaceId};
use crate::faults::{FaultReport, FaultRun};
use crate::harness::{DEFAULT_CONFIGURATION, EntryApi};
use crate::stand_in::log::{LogControl, LogMode};
use crate::wall_clock::wall_us;

/// How long after [`CONFIGURATION_DELAY_MAX`] the processes are asked for their versions.
const OBSERVATION_MARGIN: Duration = Duration::from_millis(200);

/// An operator who applies configurations through one entry.
#[derive(Debug, Clone)]
pub(super) struct Operator {
    name: String,
    api: EntryApi,
    race: Option<RaceId>,
}

impl Operator {
    pub(super) fn new(name: impl Into<String>, api: EntryApi) -> Self {
        Self {
            name: name.into(),
            api,
            race: None,
        }
    }

    /// Sets the race that the changes of this operator belong to.
    pub(super) fn race(mut self, race: RaceId) -> Self {
        self.race = Some(race);
        self
    }

    /// Returns the configuration that the operator applies; it differs between operators.
    pub(super) fn configuration(&self) -> String {
        format!("{DEFAULT_CONFIGURATION}; applied by {}\n", self.name)
    }

    /// Applies the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub(super) fn apply(&self, parent: ExpectedParent) -> Result<(ApplyResponse, Apply)> {
        let response = self.api.apply_with_parent(parent, &self.configuration())?;
        let apply = Apply {
            race: self.race,
            answered_us: wall_us(),
            outcome: apply_outcome(&response),
        };
        Ok((response, apply))
    }
}

fn apply_outcome(response: &ApplyResponse) -> ApplyOutcome {
    match (response.outcome, response.version) {
        (Outcome::Accepted, Some(version)) => ApplyOutcome::Accepted(version),
        (Outcome::Unknown, _) => ApplyOutcome::Unknown,
        _ => ApplyOutcome::Refused,
    }
}

/// Sets the mode of the log, and the delay of requests in [`LogMode::Slow`].
pub(super) fn set_log_mode(run: &mut FaultRun, mode: LogMode, delay: Duration) -> Result<()> {
    let delay_ms = delay.as_millis() as u64;
    run.cluster.log().control(LogControl { mode, delay_ms })
}

/// Waits until configurations have to be in force, collects all observations and checks the
/// history.
///
/// Expects that all processes that respond have the same configuration version.
pub(super) fn finish_with_version_check(mut run: FaultRun) -> Result<FaultReport> {
    thread::sleep(CONFIGURATION_DELAY_MAX + OBSERVATION_MARGIN);
    let mut versions = Vec::new();
    for api in responding_apis(&run) {
        record_availability(&mut run, api)?;
        versions.push(version(api)?);
    }
    let mut report = run.finish()?;
    let is_same = versions.windows(2).all(|pair| pair[0] == pair[1]);
    report.expect(
        is_same && !versions.is_empty() && versions[0].is_some(),
        format!("all processes have the same configuration version; got {versions:?}"),
    );
    Ok(report)
}

fn version(api: EntryApi) -> Result<Option<ConfigurationVersion>> {
    Ok(api.configuration()?.version)
}

/// Returns the interfaces of the daemons that respond.
fn responding_apis(run: &FaultRun) -> Vec<EntryApi> {
    let entries = run.cluster.entries().iter().map(|entry| entry.api());
    let minions = run.cluster.minions().iter();
    let sidecars = minions.map(|minion| minion.sidecar_api());
    let all = entries.chain(sidecars);
    all.filter(|api| api.configuration().is_ok()).collect()
}

/// Records that a process has been available since it started.
fn record_availability(run: &mut FaultRun, api: EntryApi) -> Result<()> {
    let response: EventsResponse = api.get("/v1/events")?.json()?;
    let started = response
        .events
        .iter()
        .find(|event| event.kind == EventKind::ProcessStarted)
        .ok_or_else(|| eyre!("{} reports no event of its start", response.process))?;
    run.history.add_availability(Availability {
        process: response.process.clone(),
        incarnation: started.incarnation,
        from_us: started.at.wall_us,
        until_us: wall_us(),
    });
    Ok(())
}
