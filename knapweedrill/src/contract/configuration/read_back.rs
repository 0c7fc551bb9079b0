//! Finds out what became of an append whose answer was lost.

use knapweedrill_derive::{key, value};

use super::{ConfigurationFold, ConfigurationRecord, ConfigurationVersion, FoldOutcome};

/// What became of an append.
#[key]
pub enum AppendFate {
    /// The record is in the log and was accepted.
    Accepted {
        /// Its version.
        version: ConfigurationVersion,
    },
    /// The record was not accepted and never will be.
    Rejected,
    /// Nobody knows yet.
    Unknown,
}

/// Follows the records read after an append to find the fate of one of them.
#[value]
pub struct ReadBack {
    record_id: u64,
    fate: AppendFate,
}

impl ReadBack {
    /// Creates a search for the record of that number.
    pub fn new(record_id: u64) -> Self {
        Self {
            record_id,
            fate: AppendFate::Unknown,
        }
    }

    /// Takes in a record with what the fold made of it.
    pub fn observe(&mut self, record: &ConfigurationRecord, outcome: FoldOutcome) {
        if record.record_id != self.record_id || self.fate != AppendFate::Unknown {
            return;
        }
        match outcome {
            FoldOutcome::Accepted { version } => self.fate = AppendFate::Accepted { version },
            FoldOutcome::RejectedParent { .. } | FoldOutcome::RejectedHash => {
                self.fate = AppendFate::Rejected;
            }
            _ => {}
        }
    }

    /// Returns the fate as far as it is known.
    ///
    /// An append that was not seen stays unknown, since it may still take effect. A record that a
    /// peer brought before the log did counts as accepted.
    pub fn fate(&self, fold: &ConfigurationFold) -> AppendFate {
        match fold.current() {
            Some(current) if current.record.record_id == self.record_id => AppendFate::Accepted {
                version: current.version,
            },
            _ => self.fate,
        }
    }
}
