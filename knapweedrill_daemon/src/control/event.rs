//! What reaches the control thread.

use std::time::Duration;

use knapweedrill::common::{Attempt, LogOffset};
use knapweedrill::job::TaskId;
use knapweedrill::message::Datagram;
use knapweedrill::sidecar::RunResult;
use knapweedrill_wire::LinkEvent;

use super::HttpCall;
use crate::platform_log::{AppendError, TailEvent};

/// What reaches the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Something happened on a link.
    Link(LinkEvent),
    /// A datagram arrived.
    Datagram(Datagram),
    /// A call of the HTTP interface arrived.
    Http(HttpCall),
    /// The log was read.
    Log(TailEvent),
    /// A record was appended to the log, or was not.
    Appended {
        /// The number by which the record is found in the log.
        record_id: u64,
        /// The record's offset.
        result: Result<LogOffset, AppendError>,
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
    /// The process is to stop as planned.
    Stop,
}
