//! The answer to a call that is refused and concerns no job.

use knapweedrill_derive::message;

/// The answer to a call that is refused and concerns no job.
#[message]
pub struct ErrorAnswer {
    /// What is wrong and what is allowed.
    pub message: String,
}
