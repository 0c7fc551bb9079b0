//! The failure cases.

use std::fmt;
use std::str::FromStr;

use eyre::{Report, Result, eyre};
use knapweedrill_derive::key;

use super::{FaultReport, entry, sidecar, wave};

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
    /// An entry stops as planned.
    EntryStopped,
    /// All entries are replaced one after another.
    EntriesReplaced,
    /// A sidecar stops as planned.
    SidecarStopped,
    /// An upstream leaves.
    UpstreamLeaves,
    /// A sidecar is killed.
    SidecarKilled,
    /// A minion is killed.
    MinionKilled,
    /// A sidecar and its minion are killed.
    SidecarAndMinionKilled,
    /// An entry stands still for longer than every timeout.
    EntryFrozen,
    /// A sidecar stands still for longer than every timeout.
    SidecarFrozen,
    /// A minion stands still for longer than every timeout.
    MinionFrozen,
    /// Callers cancel most of their jobs.
    CancellationWave,
    /// Running jobs are submitted again many times at once.
    ResubmissionWave,
}

impl FaultCase {
    /// All cases.
    pub const ALL: [Self; 14] = [
        Self::EntryKilled,
        Self::EntryKilledBeforeStart,
        Self::EntryStopped,
        Self::EntriesReplaced,
        Self::SidecarStopped,
        Self::UpstreamLeaves,
        Self::SidecarKilled,
        Self::MinionKilled,
        Self::SidecarAndMinionKilled,
        Self::EntryFrozen,
        Self::SidecarFrozen,
        Self::MinionFrozen,
        Self::CancellationWave,
        Self::ResubmissionWave,
    ];

    /// Returns the name of the case.
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryKilled => "entry-killed",
            Self::EntryKilledBeforeStart => "entry-killed-before-start",
            Self::EntryStopped => "entry-stopped",
            Self::EntriesReplaced => "entries-replaced",
            Self::SidecarStopped => "sidecar-stopped",
            Self::UpstreamLeaves => "upstream-leaves",
            Self::SidecarKilled => "sidecar-killed",
            Self::MinionKilled => "minion-killed",
            Self::SidecarAndMinionKilled => "sidecar-and-minion-killed",
            Self::EntryFrozen => "entry-frozen",
            Self::SidecarFrozen => "sidecar-frozen",
            Self::MinionFrozen => "minion-frozen",
            Self::CancellationWave => "cancellation-wave",
            Self::ResubmissionWave => "resubmission-wave",
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
            Self::EntryStopped => entry::stopped::run(self, seed),
            Self::EntriesReplaced => entry::replaced::run(self, seed),
            Self::SidecarStopped => sidecar::stopped::run(self, seed),
            Self::UpstreamLeaves => sidecar::leaving::run(self, seed),
            Self::SidecarKilled => sidecar::killed::run_sidecar(self, seed),
            Self::MinionKilled => sidecar::killed::run_minion(self, seed),
            Self::SidecarAndMinionKilled => sidecar::killed::run_both(self, seed),
            Self::EntryFrozen => entry::frozen::run(self, seed),
            Self::SidecarFrozen => sidecar::frozen::run_sidecar(self, seed),
            Self::MinionFrozen => sidecar::frozen::run_minion(self, seed),
            Self::CancellationWave => wave::cancellations::run(self, seed),
            Self::ResubmissionWave => wave::resubmissions::run(self, seed),
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
