//! The starts that a minion has recorded.

use knapweedrill::common::{Attempt, ServiceName};
use knapweedrill_derive::message;

use super::TaskLabel;

/// A start of a task attempt on a minion.
#[message]
#[derive(Copy)]
pub struct StartRecord {
    /// The task that was started.
    pub task: TaskLabel,
    /// The attempt number from the request.
    pub attempt: Attempt,
    /// When the task started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// When the task ended, in microseconds since the Unix epoch; `None` while it runs.
    pub end_us: Option<u64>,
}

/// The response to `GET /starts`.
#[message]
pub struct StartsResponse {
    /// The service of the minion.
    pub service: ServiceName,
    /// When the minion began to leave, in microseconds since the Unix epoch.
    pub leaving_since_us: Option<u64>,
    /// The highest number of tasks that ran at the same time.
    pub max_running_count: u32,
    /// The starts, oldest first.
    pub starts: Vec<StartRecord>,
}
