//! Level and format of log lines.

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

use crate::telemetry::{LogFormat, LogLevel};

/// Level and format of log lines, the section `[logging]`.
#[value]
#[derive(Default)]
pub struct LoggingSettings {
    /// The least severe level of the lines that are written.
    pub level: LogLevel,
    /// The encoding of the lines.
    pub format: LogFormat,
}

const LEVEL_CHOICES: [(&str, LogLevel); 5] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

const FORMAT_CHOICES: [(&str, LogFormat); 2] =
    [("json", LogFormat::Json), ("text", LogFormat::Text)];

impl LoggingSettings {
    pub(super) fn read(reader: &mut IniReader) -> Self {
        let mut section = reader.section("logging");
        let logging = Self {
            level: section.choice_or("level", &LEVEL_CHOICES, LogLevel::default()),
            format: section.choice_or("format", &FORMAT_CHOICES, LogFormat::default()),
        };
        section.finish();
        logging
    }
}
