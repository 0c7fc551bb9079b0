//! The control interface by which tests set the behavior of the log's stand-in.

use knapweedrill_derive::{key, message};

/// How the log responds to requests.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum LogMode {
    /// Responds normally.
    #[default]
    Up,
    /// Rejects all requests with status 503.
    Down,
    /// Delays each request before it takes effect.
    Slow,
    /// Stores appended records, then closes the connection without a response.
    LoseAnswers,
}

/// The body of `POST /control`.
#[message]
#[derive(Copy, Default)]
pub struct LogControl {
    /// How the log responds from now on.
    pub mode: LogMode,
    /// The delay of each request in [`LogMode::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// The body of `POST /control/retain`.
#[message]
#[derive(Copy)]
pub struct LogRetain {
    /// The number of newest records to keep.
    pub record_count: usize,
}
