//! What an entry wants done.

use std::time::Duration;

use knapweedrill_derive::{key, value};

use super::CallerResponse;
use crate::common::{Incarnation, RequestId};
use crate::event::EventKind;
use crate::message::Message;

/// What an entry wants done.
#[value]
pub enum EntryAction {
    /// Answer a caller.
    Respond {
        /// The number of the request.
        request: RequestId,
        /// The answer.
        response: CallerResponse,
    },
    /// Send a message to another process.
    Send {
        /// The process.
        peer: Incarnation,
        /// The message.
        message: Message,
    },
    /// Put an event on the time line.
    Record(EventKind),
    /// Count something.
    Count(EntryCounter),
    /// Tells how long something took.
    Time {
        /// What.
        timer: EntryTimer,
        /// How long.
        duration: Duration,
    },
    /// Nothing is left to do; the process may end.
    Stopped,
}

/// What an entry counts.
#[key]
pub enum EntryCounter {
    /// Jobs accepted.
    JobAccepted,
    /// Submissions that attached to a job.
    JobAttached,
    /// Jobs that ended complete.
    JobCompleted,
    /// Jobs that ended failed.
    JobFailed,
    /// Jobs that were not run.
    JobNotRun,
    /// Requests passed on to another entry.
    Relayed,
    /// Attempts handed to sidecars.
    HandedOut,
    /// Attempts that sidecars refused.
    NotStarted,
    /// Reports about a task that the entry no longer or never waited for; dropped.
    ReportDropped,
    /// Credits that no task was waiting for; returned.
    CreditReturned,
    /// Messages that the sender's role does not send; dropped.
    Unexpected,
}

/// What an entry times.
#[key]
pub enum EntryTimer {
    /// From the acceptance of a job to its end.
    JobResponse,
    /// From the acceptance of a task's job to the hand-out of the task.
    TaskWait,
}
