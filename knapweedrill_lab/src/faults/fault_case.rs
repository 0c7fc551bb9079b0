//! The catalogue of fault cases.

use std::fmt;
use std::str::FromStr;

use eyre::{Report, Result, eyre};
use knapweedrill_derive::key;

use super::network::link_silent::SilentLinks;
use super::{FaultReport, entry, log, minion, network, pair, sidecar, wave};

/// The seed of the random choices of a run.
pub type Seed = u64;

/// A fault to inject into a running cluster.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum FaultCase {
    /// An entry that owns running jobs is killed.
    EntryKilled,
    /// An entry is killed before it has handed out any task of a job.
    EntryKilledBeforeStart,
    /// The log is down while an entry starts and an operator applies a configuration.
    LogDown,
    /// The log is down while the only entry is replaced.
    LogDownWithoutPeers,
    /// The log is slow.
    LogSlow,
    /// The log appends records, but its responses are lost.
    LogAnswersLost,
    /// The retention of the log removes the newest configuration.
    LogRetentionPassed,
    /// The log contains invalid records.
    LogRecordInvalid,
    /// Operators apply configurations concurrently.
    OperatorsRace,
    /// The connection from a caller to an entry becomes a black hole.
    CallSilent,
    /// Open links between entries and sidecars become black holes; new ones work.
    LinkToSidecarSilent,
    /// Open links between entries become black holes; new ones work.
    LinkToEntrySilent,
    /// Frames arrive late on links that have been replaced.
    LinkHeld,
    /// The connections between a sidecar and its minion become black holes.
    MinionSilent,
    /// Heartbeats are lost, duplicated, delayed and reordered.
    DatagramsDisturbed,
    /// A foreign process sends malformed frames and datagrams.
    Stranger,
    /// All processes are partitioned while an operator applies a configuration.
    Partition,
    /// A minion of 8 slots fails all tasks.
    MinionFailsEverything,
    /// A minion of 4 slots fails all tasks.
    SmallMinionFailsEverything,
    /// A minion accepts tasks and never responds.
    MinionNeverAnswers,
    /// A minion responds after the deadline of its tasks.
    MinionAnswersLate,
    /// A minion closes its connections in the middle of responses.
    MinionBreaksOff,
    /// The number of slots of a minion drops.
    MinionFewerSlots,
    /// An entry stops as planned.
    EntryStopped,
    /// All entries are replaced one after another.
    EntriesReplaced,
    /// A sidecar stops as planned.
    SidecarStopped,
    /// An upstream announces that it is leaving.
    UpstreamLeaves,
    /// A sidecar is killed.
    SidecarKilled,
    /// A minion is killed.
    MinionKilled,
    /// A sidecar and its minion are killed.
    SidecarAndMinionKilled,
    /// An entry is frozen for longer than every timeout.
    EntryFrozen,
    /// A sidecar is frozen for longer than every timeout.
    SidecarFrozen,
    /// A minion is frozen for longer than every timeout.
    MinionFrozen,
    /// Callers cancel most of their jobs.
    CancellationWave,
    /// Running jobs are resubmitted many times concurrently.
    ResubmissionWave,
    /// An entry is killed while the only minion never responds.
    EntryKilledMinionHangs,
    /// An entry is frozen while the log is down.
    EntryFrozenLogDown,
    /// A sidecar is killed while the links to another one are black holes.
    SidecarKilledLinkSilent,
    /// An entry is killed during a partition.
    EntryKilledPartition,
}

impl FaultCase {
    /// All cases, in the order in which the command line runs them.
    pub const ALL: [Self; 39] = [
        Self::EntryKilled,
        Self::EntryKilledBeforeStart,
        Self::LogDown,
        Self::LogDownWithoutPeers,
        Self::LogSlow,
        Self::LogAnswersLost,
        Self::LogRetentionPassed,
        Self::LogRecordInvalid,
        Self::OperatorsRace,
        Self::CallSilent,
        Self::LinkToSidecarSilent,
        Self::LinkToEntrySilent,
        Self::LinkHeld,
        Self::MinionSilent,
        Self::DatagramsDisturbed,
        Self::Stranger,
        Self::Partition,
        Self::MinionFailsEverything,
        Self::SmallMinionFailsEverything,
        Self::MinionNeverAnswers,
        Self::MinionAnswersLate,
        Self::MinionBreaksOff,
        Self::MinionFewerSlots,
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
        Self::EntryKilledMinionHangs,
        Self::EntryFrozenLogDown,
        Self::SidecarKilledLinkSilent,
        Self::EntryKilledPartition,
    ];

    /// Returns the name of the case on the command line and in reports.
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
            Self::CallSilent => "call-silent",
            Self::LinkToSidecarSilent => "link-to-sidecar-silent",
            Self::LinkToEntrySilent => "link-to-entry-silent",
            Self::LinkHeld => "link-held",
            Self::MinionSilent => "minion-silent",
            Self::DatagramsDisturbed => "datagrams-disturbed",
            Self::Stranger => "stranger",
            Self::Partition => "partition",
            Self::MinionFailsEverything => "minion-fails-everything",
            Self::SmallMinionFailsEverything => "small-minion-fails-everything",
            Self::MinionNeverAnswers => "minion-never-answers",
            Self::MinionAnswersLate => "minion-answers-late",
            Self::MinionBreaksOff => "minion-breaks-off",
            Self::MinionFewerSlots => "minion-fewer-slots",
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
            Self::EntryKilledMinionHangs => "entry-killed-minion-hangs",
            Self::EntryFrozenLogDown => "entry-frozen-log-down",
            Self::SidecarKilledLinkSilent => "sidecar-killed-link-silent",
            Self::EntryKilledPartition => "entry-killed-partition",
        }
    }

    /// Runs the case on a new cluster and checks the observed history.
    ///
    /// # Errors
    ///
    /// Returns an error if the case can't be carried out. Violated rules are part of the report.
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
            Self::CallSilent => network::call_silent::run(self, seed),
            Self::LinkToSidecarSilent => {
                network::link_silent::run(self, seed, SilentLinks::ToSidecars)
            }
            Self::LinkToEntrySilent => {
                network::link_silent::run(self, seed, SilentLinks::ToEntries)
            }
            Self::LinkHeld => network::link_held::run(self, seed),
            Self::MinionSilent => network::minion_silent::run(self, seed),
            Self::DatagramsDisturbed => network::datagrams_disturbed::run(self, seed),
            Self::Stranger => network::stranger::run(self, seed),
            Self::MinionFailsEverything => minion::fails_everything::run(self, seed, 8),
            Self::SmallMinionFailsEverything => minion::fails_everything::run(self, seed, 4),
            Self::Partition => network::partition::run(self, seed),
            Self::MinionNeverAnswers => minion::never_answers::run(self, seed),
            Self::MinionAnswersLate => minion::answers_late::run(self, seed),
            Self::MinionBreaksOff => minion::breaks_off::run(self, seed),
            Self::MinionFewerSlots => minion::fewer_slots::run(self, seed),
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
            Self::EntryKilledMinionHangs => pair::entry_killed_minion_hangs::run(self, seed),
            Self::EntryFrozenLogDown => pair::under_load::run_entry_frozen_log_down(self, seed),
            Self::SidecarKilledLinkSilent => {
                pair::under_load::run_sidecar_killed_link_silent(self, seed)
            }
            Self::EntryKilledPartition => pair::under_load::run_entry_killed_partition(self, seed),
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
            eyre!("unknown fault case '{name}'; use one of {names}")
        })
    }
}
