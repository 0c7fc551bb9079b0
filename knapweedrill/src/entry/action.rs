//! The effects that the entry state machine requests.

use std::time::Duration;

use knapweedrill_derive::{key, value};

use super::CallerResponse;
use crate::common::{Incarnation, RequestId};
use crate::event::EventKind;
use crate::message::Message;

/// An effect that the entry state machine requests from the process that embeds it.
#[value]
pub enum EntryAction {
    /// Sends a response to a caller.
    Respond {
        /// The request that is answered.
        request: RequestId,
        /// The response.
        response: CallerResponse,
    },
    /// Sends a message to another process over its link session.
    Send {
        /// The receiving process.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// Appends an event to the timeline.
    Record(EventKind),
    /// Increments a counter by one.
    Count(EntryCounter),
    /// Records a duration in a timer metric.
    RecordDuration {
        /// The timer.
        timer: EntryTimer,
        /// The measured duration.
        duration: Duration,
    },
    /// A planned stop is complete, and the process may exit.
    Stopped,
}

/// A counter of an entry.
#[key]
pub enum EntryCounter {
    /// Jobs accepted.
    JobAccepted,
    /// Resubmissions that attached to a live job.
    JobAttached,
    /// Jobs that completed.
    JobCompleted,
    /// Jobs that failed.
    JobFailed,
    /// Jobs that were refused, or ended before any of their tasks started.
    JobNotRun,
    /// Requests relayed to the entry that owns the job.
    Relayed,
    /// Attempts sent to sidecars.
    HandedOut,
    /// Attempts that sidecars did not start.
    NotStarted,
    /// Task reports, fence reports and relay responses that the entry does not wait for; dropped.
    ReportDropped,
    /// Messages that returned unused credits to a sidecar.
    CreditReturned,
    /// Messages that an entry does not accept; dropped.
    UnexpectedMessage,
}

/// A timer metric of an entry.
#[key]
pub enum EntryTimer {
    /// Time from the acceptance of a job to its end.
    JobResponse,
    /// Time from the acceptance of a job to the hand-out of each of its tasks.
    TaskWait,
}
