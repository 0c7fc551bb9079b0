//! Changes of the settings file while the process runs.

use std::time::{Duration, Instant};

use eyre::WrapErr;
use knapweedrill_platform::ProcessSettings;

/// The pause between two looks at the file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Watches the settings file. Each text of it is judged once, as a whole.
pub(super) struct SettingsWatch {
    file: String,
    text: String,
    next_look: Instant,
}

impl SettingsWatch {
    /// Reads the settings for the first time, and watches the file from now on.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or used.
    pub(super) fn start(file: String, now: Instant) -> eyre::Result<(Self, ProcessSettings)> {
        let text = std::fs::read_to_string(&file)
            .wrap_err_with(|| format!("can't read the settings file {file}"))?;
        let settings = ProcessSettings::parse(&text, &file)?;
        let watch = Self {
            file,
            text,
            next_look: now + LOOK_EVERY,
        };
        Ok((watch, settings))
    }

    /// Returns the settings if the file has changed and can be used. `is_asked` says that the process
    /// was asked to read it now.
    pub(super) fn look(&mut self, is_asked: bool, now: Instant) -> Option<ProcessSettings> {
        if !is_asked && now < self.next_look {
            return None;
        }
        self.next_look = now + LOOK_EVERY;
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                log::error!(
                    file = self.file.as_str(), error:% = error;
                    "settings file can't be read, the settings in force hold"
                );
                return None;
            }
        };
        if text == self.text {
            if is_asked {
                log::info!(file = self.file.as_str(); "settings read anew, none has changed");
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
