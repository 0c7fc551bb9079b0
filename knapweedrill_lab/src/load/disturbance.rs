//! What goes wrong during a run.

use std::time::Duration;

use eyre::Result;
use knapweedrill_derive::value;

use crate::harness::Cluster;
use crate::stand_in::minion::{MinionControl, MinionMode};

/// What goes wrong during a run.
#[value]
#[derive(Copy)]
pub enum Disturbance {
    /// A minion fails everything from now on.
    FailEverything {
        /// The number of the minion.
        minion: usize,
    },
    /// A minion runs tasks slower than its speed says.
    Slow {
        /// The number of the minion.
        minion: usize,
        /// The run time in per cent of the usual.
        run_time_percent: u64,
    },
    /// A minion announces that it leaves.
    Leave {
        /// The number of the minion.
        minion: usize,
    },
    /// An entry is killed.
    KillEntry {
        /// The number of the entry.
        entry: usize,
    },
}

/// A disturbance and its time.
#[value]
#[derive(Copy)]
pub struct TimedDisturbance {
    /// When, since the first job was due.
    pub at: Duration,
    /// What.
    pub disturbance: Disturbance,
}

impl Disturbance {
    /// Makes it happen.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be made to.
    pub fn inflict(self, cluster: &mut Cluster) -> Result<()> {
        match self {
            Self::FailEverything { minion } => cluster
                .minion(minion)
                .control(MinionControl::new(MinionMode::FailEverything)),
            Self::Slow {
                minion,
                run_time_percent,
            } => cluster.minion(minion).control(MinionControl {
                run_time_percent,
                ..MinionControl::new(MinionMode::Slow)
            }),
            Self::Leave { minion } => cluster.minion(minion).leave(),
            Self::KillEntry { entry } => cluster.entry(entry).process().kill(),
        }
    }
}
