//! The response body of a rejected call that does not concern a job.

use knapweedrill_derive::message;

/// The response body of a rejected call that does not concern a job.
#[message]
pub struct ErrorResponse {
    /// An explanation for people: what is wrong and which values are allowed.
    pub message: String,
}
