//! An accepted configuration is in force everywhere within the bound.

use std::time::Duration;

use knapweedrill::contract::ConfigurationVersion;

use super::configuration_never_reverts::versions_seen;
use crate::checker::{
    Apply, ApplyOutcome, Availability, ConfigurationSighting, History, RuleReport, Violation,
};

/// How long after its acceptance a configuration may not be in force somewhere.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Checks every accepted apply against every process that was available throughout the bound.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    let sightings: Vec<ConfigurationSighting> = versions_seen(history).collect();
    for apply in history.applies() {
        let ApplyOutcome::Accepted(version) = apply.outcome else {
            continue;
        };
        let availabilities = history.availabilities().iter();
        for process in availabilities.filter(|process| covers_bound(process, apply)) {
            let violation = Violation::ConfigurationLate {
                process: process.process.clone(),
                version,
            };
            let is_in_force = is_in_force(process, version, apply, &sightings);
            report.note((!is_in_force).then_some(violation));
        }
    }
}

fn deadline_us(apply: &Apply) -> u64 {
    apply.answered_us + CONFIGURATION_BOUND.as_micros() as u64
}

fn covers_bound(process: &Availability, apply: &Apply) -> bool {
    process.from_us <= apply.answered_us && process.until_us >= deadline_us(apply)
}

fn is_in_force(
    process: &Availability,
    version: ConfigurationVersion,
    apply: &Apply,
    sightings: &[ConfigurationSighting],
) -> bool {
    sightings.iter().any(|sighting| {
        sighting.incarnation == process.incarnation
            && sighting.version >= version
            && sighting.at_us <= deadline_us(apply)
    })
}
