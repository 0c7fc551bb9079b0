//! The record of what a minion ran.

use knapweedrill::common::{Attempt, ServiceName};
use knapweedrill_derive::message;

use super::TaskLabel;

/// A start of a task on a minion.
#[message]
#[derive(Copy)]
pub struct StartRecord {
    /// The task.
    pub task: TaskLabel,
    /// The attempt.
    pub attempt: Attempt,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub end_us: Option<u64>,
}

/// The answer to `GET /starts`.
#[message]
pub struct StartsResponse {
    /// The service of the minion.
    pub service: ServiceName,
    /// When the minion first announced that it leaves, in microseconds since the Unix epoch.
    pub leaving_since_us: Option<u64>,
    /// The most tasks that ran at one time.
    pub max_running_count: u32,
    /// The starts, the oldest first.
    pub starts: Vec<StartRecord>,
}
