//! An accepted configuration is in force in every process within a bounded time.

use std::time::Duration;

use knapweedrill::contract::ConfigurationVersion;

use super::configuration_never_reverts::observed_versions;
use crate::checker::{
    Apply, ApplyOutcome, Availability, ConfigurationObservation, History, RuleReport, Violation,
};

/// The maximum time from the acceptance of a configuration until it is in force in every process.
pub const CONFIGURATION_DELAY_MAX: Duration = Duration::from_secs(3);

/// Checks every accepted apply against every process that was available until its deadline.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    let configuration_observations: Vec<ConfigurationObservation> =
        observed_versions(history).collect();
    for apply in history.applies() {
        let ApplyOutcome::Accepted(version) = apply.outcome else {
            continue;
        };
        let availabilities = history.availabilities().iter();
        for process in availabilities.filter(|process| is_available_until_deadline(process, apply))
        {
            let violation = Violation::ConfigurationLate {
                process: process.process.clone(),
                version,
            };
            let is_in_force = is_in_force(process, version, apply, &configuration_observations);
            report.record((!is_in_force).then_some(violation));
        }
    }
}

fn deadline_us(apply: &Apply) -> u64 {
    apply.answered_us + CONFIGURATION_DELAY_MAX.as_micros() as u64
}

/// Returns whether a process was available from the acceptance of a configuration to its deadline.
fn is_available_until_deadline(process: &Availability, apply: &Apply) -> bool {
    process.from_us <= apply.answered_us && process.until_us >= deadline_us(apply)
}

fn is_in_force(
    process: &Availability,
    version: ConfigurationVersion,
    apply: &Apply,
    configuration_observations: &[ConfigurationObservation],
) -> bool {
    configuration_observations.iter().any(|observation| {
        observation.incarnation == process.incarnation
            && observation.version >= version
            && observation.at_us <= deadline_us(apply)
    })
}
