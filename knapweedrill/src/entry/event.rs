//! The inputs of the entry state machine.

use knapweedrill_derive::{key, value};

use super::CallerRequest;
use crate::common::{Incarnation, RequestId};
use crate::contract::{Configuration, ConfigurationVersion};
use crate::message::{Message, Role, SlotReport};
use crate::minion::Announcement;

/// An input of the entry state machine.
#[value]
pub enum EntryEvent {
    /// A request arrived.
    Request {
        /// The recipient of the response.
        requester: Requester,
        /// The request.
        request: CallerRequest,
    },
    /// A requester no longer waits for its response.
    RequesterGone {
        /// The requester.
        requester: Requester,
    },
    /// A link session opened.
    PeerConnected {
        /// The remote process.
        peer: Incarnation,
        /// The role of the remote process.
        role: Role,
    },
    /// A link session closed.
    PeerDisconnected {
        /// The remote process.
        peer: Incarnation,
    },
    /// A message arrived over a link session.
    Message {
        /// The sender.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// A sidecar announced its minion.
    MinionAnnounced {
        /// The announcement.
        announcement: Announcement,
    },
    /// A sidecar reported the state of its minion's slots in a heartbeat.
    SlotsReported {
        /// The sidecar.
        sidecar: Incarnation,
        /// The slot state.
        report: SlotReport,
    },
    /// A sidecar missed its heartbeats for too long, or has ended.
    MinionLost {
        /// The sidecar.
        sidecar: Incarnation,
    },
    /// Another entry is stopping and accepts no new jobs.
    EntryStopping {
        /// The entry.
        entry: Incarnation,
    },
    /// An entry took over the keys of a stopped one and answers for its tokens.
    SuccessorAnnounced {
        /// The entry that took over the keys.
        successor: Incarnation,
        /// The stopped entry.
        stopped: Incarnation,
    },
    /// A configuration came into force.
    ConfigurationChanged {
        /// The version.
        version: ConfigurationVersion,
        /// The configuration.
        configuration: Configuration,
    },
    /// The periodic timer fired.
    Tick,
    /// A planned stop was requested.
    Stop,
}

/// The recipient of the response to a request.
#[key]
pub enum Requester {
    /// A caller that is connected to this entry.
    Caller {
        /// The identifier of the request at this entry.
        request: RequestId,
    },
    /// Another entry, which relays the request of one of its callers.
    Entry {
        /// The entry.
        entry: Incarnation,
        /// The identifier of the request at the relaying entry.
        request: RequestId,
    },
}
