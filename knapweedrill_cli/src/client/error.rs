//! Errors of client calls.

use std::net::SocketAddr;

use knapweedrill::api::HttpStatus;
use knapweedrill::common::ClientKey;

/// An error of a client call.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The client was built without an entry.
    #[error("no entry address was given; pass at least one")]
    NoEntry,
    /// No entry or process gave a usable answer, and the call cannot have started a job.
    #[error("the call to {entry}, the last address tried, failed: {message}")]
    Unreachable {
        /// The address tried last.
        entry: SocketAddr,
        /// The cause of the last failure.
        message: String,
    },
    /// The job may have run, and no entry reported its outcome.
    #[error("the outcome of the job is unknown; retry with --owner {token} --key {key}: {message}")]
    OutcomeUnknown {
        /// The owner token of the submission.
        token: String,
        /// The idempotency key of the job.
        key: ClientKey,
        /// The cause of the last failure.
        message: String,
    },
    /// An entry or process refused the call.
    #[error("{entry} refused the call with status {status}: {message}")]
    Refused {
        /// The address that answered.
        entry: SocketAddr,
        /// The HTTP status code.
        status: HttpStatus,
        /// The message of the refusal.
        message: String,
    },
    /// The response body has neither the expected type nor that of an error.
    #[error("{entry} sent a malformed response with status {status}: {message}")]
    Malformed {
        /// The address that answered.
        entry: SocketAddr,
        /// The HTTP status code.
        status: HttpStatus,
        /// What is wrong with the body.
        message: String,
    },
}
