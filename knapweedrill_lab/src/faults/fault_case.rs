//! The failure cases.

use std::fmt;
use std::str::FromStr;

use eyre::{Report, Result, eyre};
use knapweedrill_derive::key;

use super::{FaultReport, entry};

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
}

impl FaultCase {
    /// All cases.
    pub const ALL: [Self; 2] = [Self::EntryKilled, Self::EntryKilledBeforeStart];

    /// Returns the name of the case.
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryKilled => "entry-killed",
            Self::EntryKilledBeforeStart => "entry-killed-before-start",
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
