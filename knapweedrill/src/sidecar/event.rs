//! What happens to a sidecar.

use std::time::Duration;

use knapweedrill_derive::value;

use super::MinionNotice;
use crate::common::{Attempt, Incarnation};
use crate::contract::Configuration;
use crate::job::{TaskId, TaskOutcome};
use crate::message::Message;

/// What happens to a sidecar.
#[value]
pub enum SidecarEvent {
    /// The minion announced itself.
    Minion(MinionNotice),
    /// A link session with an entry opened.
    PeerUp {
        /// The entry.
        peer: Incarnation,
    },
    /// The link session with an entry closed.
    PeerDown {
        /// The entry.
        peer: Incarnation,
    },
    /// An entry sent a message.
    Message {
        /// The entry.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// A call of the minion ended.
    CallEnded {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How the call ended.
        result: RunResult,
        /// How long it took.
        run_time: Duration,
    },
    /// A configuration came into force.
    Configured(Configuration),
    /// Time passed.
    Tick,
    /// The process is to stop as planned.
    Stop,
}

/// How a call of the minion ended.
#[value]
pub enum RunResult {
    /// The request was sent, so the task may have run.
    Sent(TaskOutcome),
    /// No connection came about, so nothing was sent.
    NotSent,
}
