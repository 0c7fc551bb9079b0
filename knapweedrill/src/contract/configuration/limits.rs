//! Limits of admission control.

use std::time::Duration;

use knapweedrill_derive::message;

/// The limits of admission control at each entry.
#[message]
pub struct Limits {
    /// The largest number of tasks of one job.
    pub tasks_per_job: u32,
    /// The largest number of tasks queued at one entry.
    pub queued_tasks: u32,
    /// The largest total payload of the tasks queued at one entry, in bytes.
    pub queued_bytes: u64,
    /// The largest payload of one task, in bytes.
    pub payload_bytes: u32,
    /// The longest deadline that a job may set.
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
