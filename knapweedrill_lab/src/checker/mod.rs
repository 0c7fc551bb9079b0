//! Checks a history of observations against what the system guarantees.

mod history;
mod index;
mod observation;
mod recording_client;
mod report;
mod rule;
mod violation;

pub use history::History;
pub use observation::{
    Apply, ApplyOutcome, Availability, CallerAnswer, ConfigurationObservation, Departure,
    MinionStart, PlannedStop, RaceId, Submission,
};
pub use recording_client::RecordingClient;
pub use report::{Report, RuleReport};
pub use rule::{CONFIGURATION_DELAY_MAX, LEAVE_DELAY_MAX, Rule, check};
pub use violation::Violation;
