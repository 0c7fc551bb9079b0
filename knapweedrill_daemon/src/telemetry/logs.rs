//! Log lines on the standard error stream.

use eyre::{Result, WrapErr as _};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::{JsonLayout, TextLayout};

use super::BoundedOutput;

/// The least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults that an operator has to act on.
    Error,
    /// Faults that the process deals with itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// All details.
    Trace,
}

impl LogLevel {
    /// Returns the name of the level, as settings write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }

    fn filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
            Self::Trace => LevelFilter::Trace,
        }
    }
}

/// The form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for a reader at a terminal.
    Text,
    /// One JSON object a line.
    #[default]
    Json,
}

/// Sets the logger of the process up.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn init_logs(level: LogLevel, format: LogFormat) -> Result<()> {
    let append = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilter::from(level.name()))
                .append(append)
        })
        .try_apply()
        .wrap_err("cannot set the logger up")?;
    log::set_max_level(level.filter());
    Ok(())
}

/// Sets the logger of a process up that runs on the platform: JSON lines on standard output.
///
/// # Errors
///
/// Fails if a logger has been set up before.
pub fn init_stdout_logs() -> Result<()> {
    let append = BoundedOutput::start(JsonLayout::default(), std::io::stdout())
        .wrap_err("cannot start the thread that writes the log")?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilter::from(LogLevel::default().name()))
                .append(append)
        })
        .try_apply()
        .wrap_err("cannot set the logger up")?;
    log::set_max_level(LogLevel::default().filter());
    Ok(())
}
