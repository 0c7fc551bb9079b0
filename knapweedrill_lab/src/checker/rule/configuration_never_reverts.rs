//! No process goes back to an older configuration.

use std::collections::BTreeMap;

use knapweedrill::common::Incarnation;
use knapweedrill::event::EventKind;

use crate::checker::{ConfigurationSighting, History, RuleReport, Violation};

/// Checks every pair of versions that a run of a process had one after the other.
///
/// Events are ordered by their clock and sightings by that of the observer, each on its own,
/// since the two clocks may differ.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    check_ordered(versions_in_events(history), report);
    let mut sightings = history.sightings().to_vec();
    sightings.sort_by_key(|sighting| sighting.at_us);
    check_ordered(sightings.into_iter(), report);
}

/// Returns the versions that processes had in force, by their events and as they were seen.
pub(super) fn versions_seen(history: &History) -> impl Iterator<Item = ConfigurationSighting> {
    versions_in_events(history).chain(history.sightings().iter().cloned())
}

fn versions_in_events(history: &History) -> impl Iterator<Item = ConfigurationSighting> {
    history.events().filter_map(|event| match event.kind {
        EventKind::ConfigurationInForce { version } => Some(ConfigurationSighting {
            process: event.process.clone(),
            incarnation: event.incarnation,
            version,
            at_us: event.at.wall_us,
        }),
        _ => None,
    })
}

fn check_ordered(sightings: impl Iterator<Item = ConfigurationSighting>, report: &mut RuleReport) {
    let mut latest: BTreeMap<Incarnation, ConfigurationSighting> = BTreeMap::new();
    for sighting in sightings {
        let next = sighting.clone();
        if let Some(previous) = latest.insert(sighting.incarnation, sighting) {
            report.note(find_violation(&previous, next));
        }
    }
}

fn find_violation(
    previous: &ConfigurationSighting,
    next: ConfigurationSighting,
) -> Option<Violation> {
    let violation = Violation::ConfigurationReverted {
        process: next.process,
        incarnation: next.incarnation,
        from: previous.version,
        to: next.version,
    };
    (next.version < previous.version).then_some(violation)
}
