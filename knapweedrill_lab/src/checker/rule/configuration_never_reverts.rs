//! No process reverts to an older configuration.

use std::collections::BTreeMap;

use knapweedrill::common::Incarnation;
use knapweedrill::event::EventKind;

use crate::checker::{ConfigurationObservation, History, RuleReport, Violation};

/// Checks every pair of consecutive versions in a run of a process.
///
/// Events are ordered by the clock of the process and observations by that of the observer. The two
/// clocks may differ, so events and observations are checked separately.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    check_ordered(versions_in_events(history), report);
    let mut configuration_observations = history.configuration_observations().to_vec();
    configuration_observations.sort_by_key(|observation| observation.at_us);
    check_ordered(configuration_observations.into_iter(), report);
}

/// Returns the versions that processes had in force, from their events and from observations.
pub(super) fn observed_versions(
    history: &History,
) -> impl Iterator<Item = ConfigurationObservation> {
    versions_in_events(history).chain(history.configuration_observations().iter().cloned())
}

fn versions_in_events(history: &History) -> impl Iterator<Item = ConfigurationObservation> {
    history.events().filter_map(|event| match event.kind {
        EventKind::ConfigurationInForce { version } => Some(ConfigurationObservation {
            process: event.process.clone(),
            incarnation: event.incarnation,
            version,
            at_us: event.at.wall_us,
        }),
        _ => None,
    })
}

fn check_ordered(
    configuration_observations: impl Iterator<Item = ConfigurationObservation>,
    report: &mut RuleReport,
) {
    let mut latest: BTreeMap<Incarnation, ConfigurationObservation> = BTreeMap::new();
    for observation in configuration_observations {
        let next = observation.clone();
        if let Some(previous) = latest.insert(observation.incarnation, observation) {
            report.record(find_violation(&previous, next));
        }
    }
}

fn find_violation(
    previous: &ConfigurationObservation,
    next: ConfigurationObservation,
) -> Option<Violation> {
    let violation = Violation::ConfigurationReverted {
        process: next.process,
        incarnation: next.incarnation,
        from: previous.version,
        to: next.version,
    };
    (next.version < previous.version).then_some(violation)
}
