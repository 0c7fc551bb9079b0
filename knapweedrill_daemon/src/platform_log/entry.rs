//! Records and pages that the log returns.

use knapweedrill::common::LogOffset;
use serde::Deserialize;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LogEntry {
    /// The position of the record in the log.
    pub offset: LogOffset,
    /// The text that was appended.
    pub body: String,
}

/// Consecutive records of the log, as returned by one read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that retention has kept.
    pub first_offset: LogOffset,
    /// The offset that the log reports as the next one.
    pub next_offset: LogOffset,
    /// The records, in the order of their offsets.
    pub records: Vec<LogEntry>,
}

impl LogPage {
    /// Returns whether the log had no further records when it responded.
    ///
    /// Only an empty page shows this, since a log may return fewer records than requested.
    pub fn is_at_end(&self) -> bool {
        self.records.is_empty()
    }
}
