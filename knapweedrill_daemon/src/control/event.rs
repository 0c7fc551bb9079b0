//! The events that the control thread processes.

use std::time::Duration;

use knapweedrill::common::{Attempt, LogOffset};
use knapweedrill::job::TaskId;
use knapweedrill::message::Datagram;
use knapweedrill::sidecar::RunResult;
use knapweedrill_wire::LinkEvent;

use super::ControlRequest;
use crate::platform_log::{AppendError, TailEvent};

/// An event that another thread sends to the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A link opened, closed, failed to open or received a frame.
    Link(LinkEvent),
    /// A heartbeat datagram arrived.
    Datagram(Datagram),
    /// An HTTP API request arrived that needs control state.
    Http(ControlRequest),
    /// The platform log was read, or could not be.
    Log(TailEvent),
    /// An append to the platform log ended.
    Appended {
        /// The id that identifies the record in the log.
        record_id: u64,
        /// The offset of the record, or why it may not be in the log.
        result: Result<LogOffset, AppendError>,
    },
    /// A call to the minion ended.
    CallEnded {
        /// The task that the call ran.
        task: TaskId,
        /// The attempt number of the task.
        attempt: Attempt,
        /// The outcome of the task, or that the request was not sent.
        result: RunResult,
        /// The duration of the call.
        run_time: Duration,
    },
    /// A graceful shutdown was requested.
    Stop,
}
