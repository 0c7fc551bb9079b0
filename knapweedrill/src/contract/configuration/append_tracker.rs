//! Resolution of appends whose response was lost.

use knapweedrill_derive::{key, value};

use super::{ConfigurationFold, ConfigurationRecord, ConfigurationVersion, FoldOutcome};

/// The outcome of an append to the log.
#[key]
pub enum AppendOutcome {
    /// The record is in the log and was accepted.
    Accepted {
        /// The version of the accepted configuration.
        version: ConfigurationVersion,
    },
    /// The record was rejected and will never be accepted.
    Rejected,
    /// The outcome is not known yet.
    Unknown,
}

/// Observes the records read after an append to determine the outcome of that append.
#[value]
pub struct AppendTracker {
    record_id: u64,
    outcome: AppendOutcome,
}

impl AppendTracker {
    /// Creates a tracker of the record with the given identifier.
    pub fn new(record_id: u64) -> Self {
        Self {
            record_id,
            outcome: AppendOutcome::Unknown,
        }
    }

    /// Observes a record and the outcome of folding it.
    pub fn observe(&mut self, record: &ConfigurationRecord, outcome: FoldOutcome) {
        if record.record_id != self.record_id || self.outcome != AppendOutcome::Unknown {
            return;
        }
        match outcome {
            FoldOutcome::Accepted { version } => self.outcome = AppendOutcome::Accepted { version },
            FoldOutcome::RejectedParent { .. } | FoldOutcome::RejectedHash => {
                self.outcome = AppendOutcome::Rejected;
            }
            _ => {}
        }
    }

    /// Returns the outcome of the append as far as it is known.
    ///
    /// An append that was not observed stays unknown, since it may still take effect. A record that
    /// arrived from a peer before it was read from the log counts as accepted.
    pub fn outcome(&self, fold: &ConfigurationFold) -> AppendOutcome {
        match fold.current() {
            Some(current) if current.record.record_id == self.record_id => {
                AppendOutcome::Accepted {
                    version: current.version,
                }
            }
            _ => self.outcome,
        }
    }
}
