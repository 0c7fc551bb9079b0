//! Faults that a run injects into the cluster.

use std::time::Duration;

use eyre::Result;
use knapweedrill_derive::value;

use crate::harness::Cluster;
use crate::stand_in::minion::{MinionControl, MinionMode};

/// A fault that is injected during a run.
#[value]
#[derive(Copy)]
pub enum Fault {
    /// A minion fails every task from then on.
    FailEverything {
        /// The index of the minion in the cluster.
        minion: usize,
    },
    /// A minion runs tasks more slowly than its configured speed.
    Slow {
        /// The index of the minion in the cluster.
        minion: usize,
        /// The run time of a task in per cent of that at the configured speed.
        run_time_percent: u64,
    },
    /// A minion announces that it leaves the fleet.
    Leave {
        /// The index of the minion in the cluster.
        minion: usize,
    },
    /// An entry is killed with no chance to shut down.
    KillEntry {
        /// The index of the entry in the cluster.
        entry: usize,
    },
}

/// A fault and the time at which it is injected.
#[value]
#[derive(Copy)]
pub struct ScheduledFault {
    /// The time of the injection, since the start of the run.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

impl Fault {
    /// Injects the fault into a cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be reached or killed.
    pub fn inject(self, cluster: &mut Cluster) -> Result<()> {
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
