//! Finds slopes by what they are of.

use eyre::{Result, eyre};
use knapweedrill::message::Role;

use crate::slopes::{Quantity, SlopeReport, SlopesReport, Subject, SweepReport};

/// The measured subjects, in the order of their letters on the page.
pub(super) const SUBJECTS: [Subject; 13] = [
    ENTRY_MINIONS,
    ENTRY_ENTRIES,
    ENTRY_TEAMS,
    QUEUED_TASKS,
    JOBS_IN_FLIGHT,
    KEPT_KEYS,
    CONFIGURATION_BYTES,
    entry("changes a second"),
    ENTRY_STARTS,
    SIDECAR_ENTRIES,
    SIDECAR_TEAMS,
    SIDECAR_STARTS,
    REMEMBERED_TASKS,
];

pub(super) const ENTRY_MINIONS: Subject = entry("minions");
pub(super) const ENTRY_ENTRIES: Subject = entry("entries");
pub(super) const ENTRY_TEAMS: Subject = entry("teams with changing demand");
pub(super) const QUEUED_TASKS: Subject = entry("queued tasks");
pub(super) const JOBS_IN_FLIGHT: Subject = entry("jobs in flight");
pub(super) const KEPT_KEYS: Subject = entry("kept keys");
pub(super) const CONFIGURATION_BYTES: Subject = entry("configuration bytes in force a second");
pub(super) const ENTRY_STARTS: Subject = entry("starts a second");
pub(super) const SIDECAR_ENTRIES: Subject = sidecar("entries");
pub(super) const SIDECAR_TEAMS: Subject = sidecar("teams with changing demand");
pub(super) const SIDECAR_STARTS: Subject = sidecar("starts a second");
pub(super) const REMEMBERED_TASKS: Subject = sidecar("remembered tasks");

const fn entry(grows_with: &'static str) -> Subject {
    Subject {
        role: Role::Entry,
        grows_with,
    }
}

const fn sidecar(grows_with: &'static str) -> Subject {
    Subject {
        role: Role::Sidecar,
        grows_with,
    }
}

/// The slopes of a run in which every subject was measured.
#[derive(Clone, Copy)]
pub(super) struct SlopeTable<'a> {
    report: &'a SlopesReport,
}

impl<'a> SlopeTable<'a> {
    /// Takes the slopes of a run.
    ///
    /// # Errors
    ///
    /// Returns an error if a subject or a quantity of it was not measured.
    pub(super) fn new(report: &'a SlopesReport) -> Result<Self> {
        for subject in SUBJECTS {
            let sweep = find(report, subject).ok_or_else(|| missing(subject, "anything"))?;
            for quantity in Quantity::ALL {
                let name = quantity.name();
                if !sweep.slopes.contains_key(name) {
                    return Err(missing(subject, name));
                }
            }
        }
        Ok(Self { report })
    }

    /// Returns the run.
    pub(super) fn report(&self) -> &'a SlopesReport {
        self.report
    }

    /// Returns what was measured of a subject.
    pub(super) fn sweep(&self, subject: Subject) -> &'a SweepReport {
        find(self.report, subject).expect("every subject was measured")
    }

    /// Returns what was measured of a quantity.
    pub(super) fn cell(&self, subject: Subject, quantity: Quantity) -> &'a SlopeReport {
        &self.sweep(subject).slopes[quantity.name()]
    }

    /// Returns the growth for each unit of size.
    pub(super) fn slope(&self, subject: Subject, quantity: Quantity) -> f64 {
        self.cell(subject, quantity).fit.slope
    }

    /// Returns the value at size 0.
    pub(super) fn at_zero(&self, subject: Subject, quantity: Quantity) -> f64 {
        self.cell(subject, quantity).fit.intercept
    }
}

fn find(report: &SlopesReport, subject: Subject) -> Option<&SweepReport> {
    report
        .sweeps
        .iter()
        .find(|sweep| sweep.role == subject.role && sweep.grows_with == subject.grows_with)
}

fn missing(subject: Subject, what: &str) -> eyre::Report {
    let Subject { role, grows_with } = subject;
    eyre!("the run did not measure {what} of {role:?} by {grows_with}; measure again")
}
