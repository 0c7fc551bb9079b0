//! An operator who applies configurations, and what is observed of it.

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

/// How long after the bound processes are asked what they had in force.
const BOUND_MARGIN: Duration = Duration::from_millis(200);

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

    /// Makes the applies part of a race.
    pub(super) fn race(mut self, race: RaceId) -> Self {
        self.race = Some(race);
        self
    }

    /// Returns the text that the operator applies; no two operators have the same.
    pub(super) fn text(&self) -> String {
        format!("{DEFAULT_CONFIGURATION}; applied by {}\n", self.name)
    }

    /// Applies the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer.
    pub(super) fn apply(&self, parent: ExpectedParent) -> Result<(ApplyResponse, Apply)> {
        let answer = self.api.apply_with_parent(parent, &self.text())?;
        let apply = Apply {
            race: self.race,
            answered_us: wall_us(),
            outcome: observed(&answer),
        };
        Ok((answer, apply))
    }
}

fn observed(answer: &ApplyResponse) -> ApplyOutcome {
    match (answer.outcome, answer.version) {
        (Outcome::Accepted, Some(version)) => ApplyOutcome::Accepted(version),
        (Outcome::Unknown, _) => ApplyOutcome::Unknown,
        _ => ApplyOutcome::Refused,
    }
}

/// Sets how the log answers.
pub(super) fn set_log(run: &mut FaultRun, mode: LogMode, delay: Duration) -> Result<()> {
    let delay_ms = delay.as_millis() as u64;
    run.cluster.log().control(LogControl { mode, delay_ms })
}

/// Lets the bound of configurations pass, collects everything and checks the history.
///
/// All processes that answer at the end have to have the same version.
pub(super) fn finish(mut run: FaultRun) -> Result<FaultReport> {
    thread::sleep(CONFIGURATION_DELAY_MAX + BOUND_MARGIN);
    let mut versions = Vec::new();
    for api in living(&run) {
        note_availability(&mut run, api)?;
        versions.push(version(api)?);
    }
    let mut report = run.finish()?;
    let is_same = versions.windows(2).all(|pair| pair[0] == pair[1]);
    report.expect(
        is_same && !versions.is_empty() && versions[0].is_some(),
        format!("all processes have the same version; they have {versions:?}"),
    );
    Ok(report)
}

fn version(api: EntryApi) -> Result<Option<ConfigurationVersion>> {
    Ok(api.configuration()?.version)
}

/// Returns the interfaces of the daemons that answer.
fn living(run: &FaultRun) -> Vec<EntryApi> {
    let entries = run.cluster.entries().iter().map(|entry| entry.api());
    let minions = run.cluster.minions().iter();
    let sidecars = minions.map(|minion| minion.sidecar_api());
    let all = entries.chain(sidecars);
    all.filter(|api| api.configuration().is_ok()).collect()
}

/// Notes that a process has been available since it started.
fn note_availability(run: &mut FaultRun, api: EntryApi) -> Result<()> {
    let answer: EventsResponse = api.get("/v1/events")?.json()?;
    let started = answer
        .events
        .iter()
        .find(|event| event.kind == EventKind::ProcessStarted)
        .ok_or_else(|| eyre!("{} does not tell when it started", answer.process))?;
    run.history.add_availability(Availability {
        process: answer.process.clone(),
        incarnation: started.incarnation,
        from_us: started.at.wall_us,
        until_us: wall_us(),
    });
    Ok(())
}
