//! Checks a history of observations against what the system guarantees.

mod history;
mod index;
mod observation;
mod observed_call;
mod report;
mod rule;
mod violation;

pub use history::History;
pub use observation::{
    Apply, ApplyOutcome, Availability, CallerAnswer, ConfigurationSighting, Departure, MinionStart,
    PlannedStop, RaceNumber, Submission,
};
pub use observed_call::ObservedCall;
pub use report::{Report, RuleReport};
pub use rule::{CONFIGURATION_BOUND, LEAVING_BOUND, Rule, check};
pub use violation::Violation;
