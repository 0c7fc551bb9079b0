//! Changes that membership reports.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::{PeerAddress, SlotReport};
use crate::minion::Announcement;

/// A change of the membership or a report of a member.
#[value]
pub enum MembershipChange {
    /// A minion sent its first heartbeat, or the first after it was lost.
    MinionFound(Announcement),
    /// The announcement of a minion changed, for example because it is leaving.
    MinionChanged(Announcement),
    /// A minion reported its slots; emitted for each heartbeat that is not reordered or duplicated.
    MinionReported {
        /// The incarnation of the sidecar of the minion.
        sidecar: Incarnation,
        /// The state of the slots.
        report: SlotReport,
    },
    /// A minion was silent for longer than its timeout and gets no new work.
    MinionLost {
        /// The incarnation of the sidecar of the minion.
        sidecar: Incarnation,
    },
    /// An entry sent its first heartbeat, or the first after it was lost.
    EntryFound(PeerAddress),
    /// An entry is stopping and accepts no new jobs.
    EntryStopping {
        /// The incarnation of the entry.
        entry: Incarnation,
    },
    /// An entry was silent for longer than its timeout.
    EntryLost {
        /// The incarnation of the entry.
        entry: Incarnation,
    },
    /// An entry answers requests for the tokens of an entry that has stopped.
    AnswersFor {
        /// The entry that answers.
        successor: Incarnation,
        /// The entry that has stopped.
        stopped: Incarnation,
    },
}
