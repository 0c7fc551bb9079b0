//! The records of the log and the responses of its HTTP interface.

use knapweedrill::common::LogOffset;
use knapweedrill_derive::message;

/// A record of the log.
#[message]
pub struct LogRecord {
    /// The position of the record in the log.
    pub offset: LogOffset,
    /// The text that was appended.
    pub body: String,
}

/// The response to `POST /append`.
#[message]
#[derive(Copy)]
pub struct AppendResponse {
    /// The position of the new record.
    pub offset: LogOffset,
}

/// The response to `GET /records`.
#[message]
pub struct ReadResponse {
    /// The offset of the oldest retained record, or the next offset if none is retained.
    pub first_offset: LogOffset,
    /// The offset to read from next.
    pub next_offset: LogOffset,
    /// The records in ascending order of offset.
    pub records: Vec<LogRecord>,
}
