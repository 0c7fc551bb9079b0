//! What happens to an entry.

use knapweedrill_derive::{key, value};

use super::CallerRequest;
use crate::common::{Incarnation, RequestId};
use crate::contract::{Configuration, ConfigurationVersion};
use crate::message::{Message, Role, SlotReport};
use crate::minion::Announcement;

/// What happens to an entry.
#[value]
pub enum EntryEvent {
    /// A caller asked for something.
    Request {
        /// Who is to get the answer.
        requester: Requester,
        /// What is asked.
        request: CallerRequest,
    },
    /// A requester no longer waits for its answer.
    Hangup {
        /// The requester.
        requester: Requester,
    },
    /// A link session opened.
    PeerUp {
        /// The process at the other end.
        peer: Incarnation,
        /// Its role.
        role: Role,
    },
    /// A link session closed.
    PeerDown {
        /// The process at the other end.
        peer: Incarnation,
    },
    /// A process sent a message.
    Message {
        /// The process.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// A sidecar announced its minion.
    Minion {
        /// The minion.
        announcement: Announcement,
    },
    /// A sidecar told the state of its minion's slots in a heartbeat.
    SlotsReported {
        /// The sidecar.
        sidecar: Incarnation,
        /// The state.
        report: SlotReport,
    },
    /// A sidecar has been silent for too long, or has ended.
    MinionLost {
        /// The sidecar.
        sidecar: Incarnation,
    },
    /// Another entry is stopping and takes no new jobs.
    EntryStopping {
        /// The entry.
        entry: Incarnation,
    },
    /// Another entry answers for the tokens of one that has stopped.
    AnswersFor {
        /// The entry that answers.
        successor: Incarnation,
        /// The entry that has stopped.
        stopped: Incarnation,
    },
    /// A configuration came into force.
    Configured {
        /// The version.
        version: ConfigurationVersion,
        /// The configuration.
        configuration: Configuration,
    },
    /// Time passed.
    Tick,
    /// The process is to stop as planned.
    Stop,
}

/// Who is to get the answer to a request.
#[key]
pub enum Requester {
    /// A caller of this entry.
    Caller {
        /// The number of the request.
        request: RequestId,
    },
    /// Another entry, on behalf of a caller of its own.
    Entry {
        /// The entry.
        entry: Incarnation,
        /// The number that the entry gave the request.
        request: RequestId,
    },
}
