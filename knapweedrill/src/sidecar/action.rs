//! Actions that a sidecar requests.

use knapweedrill_derive::value;

use super::SidecarCounter;
use crate::common::{Incarnation, JobId};
use crate::event::EventKind;
use crate::message::{Message, Start};

/// An action that the embedding process carries out for the sidecar.
#[value]
pub enum SidecarAction {
    /// Sends a message to an entry.
    Send {
        /// The incarnation of the entry.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// Calls the minion to run a task.
    Run(Start),
    /// Cancels the calls in progress for the tasks of a job, if calls can be cancelled.
    CancelCalls(JobId),
    /// Sends the announcement of the minion to the entries without waiting for the next heartbeat.
    AnnounceNow,
    /// Records an event on the timeline.
    Record(EventKind),
    /// Increments a counter.
    Count(SidecarCounter),
    /// Reports that the sidecar has stopped and the process may exit.
    Stopped,
}
