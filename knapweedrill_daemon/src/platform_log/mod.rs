//! The log of the platform, at the edge of the process.

mod entry;
mod http_log;
mod record;
mod tail;
mod timed_log;
mod writer;

pub use entry::{LogEntry, LogPage};
pub use http_log::HttpLog;
pub use record::LogRecord;
pub use tail::{LogNews, tail};
pub use timed_log::TimedLog;
pub use writer::LogWriter;

use knapweedrill::common::LogOffset;

/// The log of the platform: append-only, with offsets and limited retention.
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the log gave no answer; the record may have been appended all the same.
    fn append(&self, body: &str) -> Result<LogOffset, AppendError>;

    /// Reads records from an offset on, or from the first that is kept if that is later.
    ///
    /// # Errors
    ///
    /// Fails if the log gave no answer.
    fn read(&self, from: LogOffset) -> eyre::Result<LogPage>;
}

/// Why there is no offset for an appended record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The log refused the record or could not be reached, so it was not appended.
    #[error("the log did not take the record: {0}")]
    NotAppended(String),
    /// The answer was lost; the record may have been appended.
    #[error("the log's answer was lost: {0}")]
    Unknown(String),
}
