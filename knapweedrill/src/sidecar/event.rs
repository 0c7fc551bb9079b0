//! Events that a sidecar handles.

use std::time::Duration;

use knapweedrill_derive::value;

use super::{MinionNotice, RunResult};
use crate::common::{Attempt, Incarnation};
use crate::contract::Configuration;
use crate::job::TaskId;
use crate::message::Message;

/// An event that the embedding process reports to the sidecar.
#[value]
pub enum SidecarEvent {
    /// The minion announced itself.
    MinionAnnounced(MinionNotice),
    /// A link session with an entry opened.
    PeerConnected {
        /// The incarnation of the entry.
        peer: Incarnation,
    },
    /// The link session with an entry closed.
    PeerDisconnected {
        /// The incarnation of the entry.
        peer: Incarnation,
    },
    /// An entry sent a message.
    Message {
        /// The incarnation of the entry.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// A call to the minion ended.
    CallEnded {
        /// The task of the call.
        task: TaskId,
        /// The attempt of the task.
        attempt: Attempt,
        /// The result of the call.
        result: RunResult,
        /// The duration of the call.
        run_time: Duration,
    },
    /// A configuration took effect.
    ConfigurationChanged(Configuration),
    /// Time has passed; expected at regular intervals.
    Tick,
    /// The process starts a graceful stop.
    Stop,
}
