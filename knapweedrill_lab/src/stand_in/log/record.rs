//! What the log keeps and answers.

use knapweedrill::common::LogOffset;
use knapweedrill_derive::message;

/// A record of the log.
#[message]
pub struct LogRecord {
    /// Its position.
    pub offset: LogOffset,
    /// What was appended.
    pub body: String,
}

/// The answer to `POST /append`.
#[message]
#[derive(Copy)]
pub struct AppendAnswer {
    /// The position of the new record.
    pub offset: LogOffset,
}

/// The answer to `GET /records`.
#[message]
pub struct ReadAnswer {
    /// The oldest offset that the log still keeps.
    pub first_offset: LogOffset,
    /// The offset that follows the last record of the answer.
    pub next_offset: LogOffset,
    /// The records, the oldest first.
    pub records: Vec<LogRecord>,
}
