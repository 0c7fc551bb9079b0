//! Set-up of the process's logger, on standard error or standard output.

use eyre::{Result, WrapErr as _};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::{JsonLayout, TextLayout};

use super::NonBlockingAppender;

/// The least severe level of the lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need action by an operator.
    Error,
    /// Failures from which the process recovers by itself.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Diagnostics for developers.
    Debug,
    /// Finest diagnostics.
    Trace,
}

impl LogLevel {
    /// Returns the name of the level as it appears in the settings file.
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

/// The encoding of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text without colours, for reading at a terminal.
    Text,
    /// One JSON object per line.
    #[default]
    Json,
}

/// Installs the global logger, which writes to standard error.
///
/// # Errors
///
/// Returns an error if a global logger is already installed.
pub fn init_stderr_logs(level: LogLevel, format: LogFormat) -> Result<()> {
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
        .wrap_err("cannot install the global logger; another one may be installed already")?;
    log::set_max_level(level.filter());
    Ok(())
}

/// Installs the global logger for a process that runs on the platform, which collects JSON lines
/// from standard output.
///
/// # Errors
///
/// Returns an error if a global logger is already installed or the writer thread can't be started.
pub fn init_stdout_logs() -> Result<()> {
    let append = NonBlockingAppender::start(JsonLayout::default(), std::io::stdout())
        .wrap_err("cannot start the log writer thread")?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilter::from(LogLevel::default().name()))
                .append(append)
        })
        .try_apply()
        .wrap_err("cannot install the global logger; another one may be installed already")?;
    log::set_max_level(LogLevel::default().filter());
    Ok(())
}
