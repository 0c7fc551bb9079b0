//! What a sidecar wants done.

use knapweedrill_derive::{key, value};

use crate::common::{Incarnation, JobId};
use crate::event::EventKind;
use crate::message::{Message, Start};

/// What a sidecar wants done.
#[value]
pub enum SidecarAction {
    /// Send a message to an entry.
    Send {
        /// The entry.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// Call the minion.
    Run(Start),
    /// Give up the calls that run for a job.
    Abandon(JobId),
    /// Tell the entries about the minion at once.
    AnnounceNow,
    /// Put an event on the time line.
    Record(EventKind),
    /// Count something.
    Count(SidecarCounter),
    /// Nothing is left to do; the process may end.
    Stopped,
}

/// What a sidecar counts.
#[key]
pub enum SidecarCounter {
    /// Tasks started.
    Started,
    /// Tasks that ended with a result.
    Done,
    /// Tasks that ended without one.
    Failed,
    /// Attempts refused and fenced.
    NotStarted,
    /// Attempts of a task that had been started before; refused.
    StartedBefore,
    /// Jobs fenced.
    JobFenced,
    /// Messages that an entry does not send to a sidecar; dropped.
    Unexpected,
}
