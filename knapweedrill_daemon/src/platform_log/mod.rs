//! Access to the platform log.

mod entry;
mod http_log;
mod instrumented_log;
mod record;
mod tail;
mod writer;

pub use entry::{LogEntry, LogPage};
pub use http_log::HttpLog;
pub use instrumented_log::InstrumentedLog;
pub use record::LogRecord;
pub use tail::{TailEvent, tail};
pub use writer::LogWriter;

use knapweedrill::common::LogOffset;

/// The platform log: append-only, with offsets and limited retention.
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the log rejects the record or can't be reached, or if no valid response arrives. In
    /// the last case the record may have been appended; [`AppendError`] tells these cases apart.
    fn append(&self, body: &str) -> Result<LogOffset, AppendError>;

    /// Reads records starting at `from`, or at the oldest kept record if that is later.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives.
    fn read(&self, from: LogOffset) -> eyre::Result<LogPage>;
}

/// The reason why an append returned no offset.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The log rejected the record or could not be reached, so it was not appended.
    #[error("the record was not appended: {0}")]
    NotAppended(String),
    /// No valid response arrived; the record may have been appended.
    #[error("no valid response from the log, the record may have been appended: {0}")]
    Unknown(String),
}
