//! The failure cases.

use std::fmt;
use std::str::FromStr;

use eyre::{Report, Result, eyre};
use knapweedrill_derive::key;

use super::{FaultReport, entry, log};

/// Seeds the random choices of a run.
pub type Seed = u64;

/// A failure case.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum FaultCase {
    /// An entry that owns running jobs is killed.
    EntryKilled,
    /// An entry is killed that has not handed out anything of a job.
    EntryKilledBeforeStart,
    /// The log is down; an entry starts and operators apply meanwhile.
    LogDown,
    /// The log is down while the only entry is replaced.
    LogDownWithoutPeers,
    /// The log is slow.
    LogSlow,
    /// The answers of the log are lost after appends took effect.
    LogAnswersLost,
    /// Retention passes the newest configuration.
    LogRetentionPassed,
    /// The log holds records that are not valid.
    LogRecordInvalid,
    /// Operators race each other.
    OperatorsRace,
}

impl FaultCase {
    /// All cases.
    pub const ALL: [Self; 9] = [
        Self::EntryKilled,
        Self::EntryKilledBeforeStart,
        Self::LogDown,
        Self::LogDownWithoutPeers,
        Self::LogSlow,
        Self::LogAnswersLost,
        Self::LogRetentionPassed,
        Self::LogRecordInvalid,
        Self::OperatorsRace,
    ];

    /// Returns the name of the case.
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryKilled => "entry-killed",
            Self::EntryKilledBeforeStart => "entry-killed-before-start",
            Self::LogDown => "log-down",
            Self::LogDownWithoutPeers => "log-down-without-peers",
            Self::LogSlow => "log-slow",
            Self::LogAnswersLost => "log-answers-lost",
            Self::LogRetentionPassed => "log-retention-passed",
            Self::LogRecordInvalid => "log-record-invalid",
            Self::OperatorsRace => "operators-race",
        }
    }

    /// Runs the case on processes of its own and checks what was observed.
    ///
    /// # Errors
    ///
    /// Returns an error if the case could not be carried out; a broken rule is in the report.
    pub fn run(self, seed: Seed) -> Result<FaultReport> {
        match self {
            Self::EntryKilled => entry::killed::run(self, seed),
            Self::EntryKilledBeforeStart => entry::killed_before_start::run(self, seed),
            Self::LogDown => log::down::run(self, seed),
            Self::LogDownWithoutPeers => log::down_without_peers::run(self, seed),
            Self::LogSlow => log::slow::run(self, seed),
            Self::LogAnswersLost => log::answers_lost::run(self, seed),
            Self::LogRetentionPassed => log::retention_passed::run(self, seed),
            Self::LogRecordInvalid => log::record_invalid::run(self, seed),
            Self::OperatorsRace => log::operators_race::run(self, seed),
        }
    }
}

impl fmt::Display for FaultCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for FaultCase {
    type Err = Report;

    fn from_str(name: &str) -> Result<Self> {
        let mut cases = Self::ALL.into_iter();
        cases.find(|case| case.name() == name).ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            eyre!("there is no case '{name}'; the cases are {names}")
        })
    }
}
