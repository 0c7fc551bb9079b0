//! Bounds on what is admitted.

use std::time::Duration;

use knapweedrill_derive::message;

/// Bounds on what one entry admits.
#[message]
pub struct Limits {
    /// The most tasks that one job may have.
    pub tasks_per_job: u32,
    /// The most tasks that wait at one entry.
    pub queued_tasks: u32,
    /// The most bytes of payload that wait at one entry.
    pub queued_bytes: u64,
    /// The largest payload of one task, in bytes.
    pub payload_bytes: u32,
    /// The longest deadline that a job may ask for.
    pub deadline_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tasks_per_job: 1_000,
            queued_tasks: 100_000,
            queued_bytes: 64 << 20,
            payload_bytes: 64 << 10,
            deadline_max: Duration::from_secs(600),
        }
    }
}
