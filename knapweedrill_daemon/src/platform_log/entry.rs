//! What the log returns.

use knapweedrill::common::LogOffset;
use serde::Deserialize;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub offset: LogOffset,
    /// What was appended.
    pub body: String,
}

/// A part of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LogPage {
    /// The first offset that is kept.
    pub first_offset: LogOffset,
    /// The offset that the next record will get.
    pub next_offset: LogOffset,
    /// The records.
    pub records: Vec<LogEntry>,
}

impl LogPage {
    /// Returns whether the log had nothing more when it answered.
    ///
    /// Only an empty page tells, since a log may return fewer records than were asked for.
    pub fn is_at_end(&self) -> bool {
        self.records.is_empty()
    }
}
