//! The rules that a history is checked against.

mod configuration_in_force;
mod configuration_never_reverts;
mod leaving_gets_nothing;
mod non_idempotent_once;
mod not_run_is_true;
mod one_race_winner;
mod start_once;
mod stop_cuts_nothing;
mod whole_answers;

use std::fmt;

use knapweedrill_derive::key;

use super::index::StartIndex;
use super::{History, Report, RuleReport};

pub use configuration_in_force::CONFIGURATION_DELAY_MAX;
pub use leaving_gets_nothing::LEAVE_DELAY_MAX;

/// A rule that a history is checked against.
#[key]
pub enum Rule {
    /// Every task starts at most once, over all resubmissions.
    StartOnce,
    /// An answer has either the results of all tasks or none, and only the caller's own results.
    WholeAnswers,
    /// A job that was answered as not run did not start.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once, over all tokens.
    NonIdempotentOnce,
    /// A leaving minion gets no new task after [`LEAVE_DELAY_MAX`].
    LeavingGetsNothing,
    /// A planned stop interrupts no request in flight.
    StopCutsNothing,
    /// An accepted configuration is in force in every process within [`CONFIGURATION_DELAY_MAX`].
    ConfigurationInForce,
    /// No process reverts to an older configuration.
    ConfigurationNeverReverts,
    /// Exactly one of several racing applies is accepted.
    OneRaceWinner,
}

impl Rule {
    /// All rules, in the order of a report.
    pub const ALL: [Self; 9] = [
        Self::StartOnce,
        Self::WholeAnswers,
        Self::NotRunIsTrue,
        Self::NonIdempotentOnce,
        Self::LeavingGetsNothing,
        Self::StopCutsNothing,
        Self::ConfigurationInForce,
        Self::ConfigurationNeverReverts,
        Self::OneRaceWinner,
    ];

    fn check(self, history: &History, starts: &StartIndex) -> RuleReport {
        let mut report = RuleReport::new(self);
        match self {
            Self::StartOnce => start_once::check(starts, &mut report),
            Self::WholeAnswers => whole_answers::check(history, &mut report),
            Self::NotRunIsTrue => not_run_is_true::check(history, starts, &mut report),
            Self::NonIdempotentOnce => non_idempotent_once::check(history, starts, &mut report),
            Self::LeavingGetsNothing => leaving_gets_nothing::check(history, &mut report),
            Self::StopCutsNothing => stop_cuts_nothing::check(history, &mut report),
            Self::ConfigurationInForce => configuration_in_force::check(history, &mut report),
            Self::ConfigurationNeverReverts => {
                configuration_never_reverts::check(history, &mut report);
            }
            Self::OneRaceWinner => one_race_winner::check(history, &mut report),
        }
        report
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StartOnce => "start-once",
            Self::WholeAnswers => "whole-answers",
            Self::NotRunIsTrue => "not-run-is-true",
            Self::NonIdempotentOnce => "non-idempotent-once",
            Self::LeavingGetsNothing => "leaving-gets-nothing",
            Self::StopCutsNothing => "stop-cuts-nothing",
            Self::ConfigurationInForce => "configuration-in-force",
            Self::ConfigurationNeverReverts => "configuration-never-reverts",
            Self::OneRaceWinner => "one-race-winner",
        })
    }
}

/// Checks a history against every rule.
pub fn check(history: &History) -> Report {
    let starts = StartIndex::new(history);
    let reports = Rule::ALL.map(|rule| rule.check(history, &starts));
    Report::new(reports.into())
}
