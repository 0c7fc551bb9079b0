//! What membership tells.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::{PeerAddress, SlotReport};
use crate::minion::Announcement;

/// What has changed, or was reported.
#[value]
pub enum MembershipChange {
    /// A minion was heard for the first time, or again after it was lost.
    MinionFound(Announcement),
    /// A minion announces something else than before, such as that it leaves.
    MinionChanged(Announcement),
    /// A minion reported its slots; told for every heartbeat that is not late or doubled.
    MinionReported {
        /// The sidecar of the minion.
        sidecar: Incarnation,
        /// The state of the slots.
        report: SlotReport,
    },
    /// A minion was silent for too long; it gets no new work.
    MinionLost {
        /// The sidecar of the minion.
        sidecar: Incarnation,
    },
    /// An entry was heard for the first time, or again after it was lost.
    EntryFound(PeerAddress),
    /// An entry is stopping and takes no new jobs.
    EntryStopping {
        /// The entry.
        entry: Incarnation,
    },
    /// An entry was silent for too long.
    EntryLost {
        /// The entry.
        entry: Incarnation,
    },
    /// An entry answers for the tokens of one that has stopped.
    AnswersFor {
        /// The entry that answers.
        successor: Incarnation,
        /// The entry that has stopped.
        stopped: Incarnation,
    },
}

/// A live process that has a newer configuration.
#[value]
#[derive(Copy, Eq)]
pub struct ConfigurationSource {
    /// The process.
    pub peer: Incarnation,
    /// Its version.
    pub version: ConfigurationVersion,
}
