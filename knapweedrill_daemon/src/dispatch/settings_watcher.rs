//! Detection of changes in the settings file.

use std::time::{Duration, Instant};

use eyre::WrapErr;
use knapweedrill_platform::ProcessSettings;

/// The interval at which the file is polled, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the settings file. Each version of its text is parsed once; an invalid one is rejected as
/// a whole.
pub(super) struct SettingsWatcher {
    file: String,
    text: String,
    next_poll: Instant,
}

impl SettingsWatcher {
    /// Reads the settings and starts to watch the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid.
    pub(super) fn start(file: String, now: Instant) -> eyre::Result<(Self, ProcessSettings)> {
        let text = std::fs::read_to_string(&file)
            .wrap_err_with(|| format!("can't read the settings file {file}"))?;
        let settings = ProcessSettings::parse(&text, &file)?;
        let watcher = Self {
            file,
            text,
            next_poll: now + POLL_INTERVAL,
        };
        Ok((watcher, settings))
    }

    /// Returns the settings if the file has changed and is valid. Reads the file if the poll
    /// interval is over, or at once if `is_forced`.
    pub(super) fn poll(&mut self, is_forced: bool, now: Instant) -> Option<ProcessSettings> {
        if !is_forced && now < self.next_poll {
            return None;
        }
        self.next_poll = now + POLL_INTERVAL;
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                log::error!(
                    file = self.file.as_str(), error:% = error;
                    "can't read the settings file, those in force hold"
                );
                return None;
            }
        };
        if text == self.text {
            if is_forced {
                log::info!(file = self.file.as_str(); "settings reloaded, none has changed");
            }
            return None;
        }
        self.text = text;
        match ProcessSettings::parse(&self.text, &self.file) {
            Ok(settings) => Some(settings),
            Err(error) => {
                log::error!(error:% = error; "settings not taken over, those in force hold");
                None
            }
        }
    }
}
