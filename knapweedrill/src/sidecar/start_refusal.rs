//! Reasons why a task must not be started.

use knapweedrill_derive::key;

/// The reason why a task must not be started.
#[key]
pub enum StartRefusal {
    /// The task was started before.
    StartedBefore,
    /// The job is fenced, or its generation was evicted.
    JobFenced,
}
