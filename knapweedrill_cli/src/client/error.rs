//! Why a call failed.

use std::net::SocketAddr;

use knapweedrill::api::HttpStatus;
use knapweedrill::common::ClientKey;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No entry was named.
    #[error("no entry is given; name one or more addresses")]
    NoEntry,
    /// No entry answered; the call concerned no job that may have started.
    #[error("no entry answered; the last, {entry}, failed: {message}")]
    Unreachable {
        /// The entry tried last.
        entry: SocketAddr,
        /// What went wrong there.
        message: String,
    },
    /// A job may have run, and no entry tells its outcome.
    #[error("the outcome is unknown; ask again with --owner {token} --key {key}: {message}")]
    OutcomeUnknown {
        /// The token that names the owner.
        token: String,
        /// The key of the job.
        key: ClientKey,
        /// What went wrong last.
        message: String,
    },
    /// An entry refused the call.
    #[error("{entry} refused the call with status {status}: {message}")]
    Refused {
        /// The entry.
        entry: SocketAddr,
        /// The HTTP status.
        status: HttpStatus,
        /// What the entry says.
        message: String,
    },
    /// An entry answered something that is no answer.
    #[error("{entry} answered with status {status} what is not understood: {message}")]
    Malformed {
        /// The entry.
        entry: SocketAddr,
        /// The HTTP status.
        status: HttpStatus,
        /// What is wrong with it.
        message: String,
    },
}
