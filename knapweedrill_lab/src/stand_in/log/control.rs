//! How tests control the stand-in for the log.

use knapweedrill_derive::{key, message};

/// How the log answers.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum LogMode {
    /// Answers as usual.
    #[default]
    Up,
    /// Refuses everything with status 503.
    Down,
    /// Waits before it acts.
    Slow,
    /// Takes appends and then breaks the connection without an answer.
    LoseAnswers,
}

/// The body of `POST /control`.
#[message]
#[derive(Copy, Default)]
pub struct LogControl {
    /// How the log is to answer from now on.
    pub mode: LogMode,
    /// How long it waits in [`LogMode::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// The body of `POST /control/retain`.
#[message]
#[derive(Copy)]
pub struct LogRetain {
    /// How many of the newest records stay.
    pub record_count: usize,
}
