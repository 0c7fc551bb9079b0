//! The outcome of folding a record.

use knapweedrill_derive::key;

use super::ConfigurationVersion;

/// The outcome of folding a record.
#[key]
pub enum FoldOutcome {
    /// The record's configuration has become the current one.
    Accepted {
        /// The version of the configuration.
        version: ConfigurationVersion,
    },
    /// The record repeats the current configuration.
    Refreshed,
    /// The record states the current version, which this reader did not know for certain.
    Learned {
        /// The version that is current after the record.
        version: ConfigurationVersion,
    },
    /// The record's parent is not the current configuration.
    RejectedParent {
        /// The current version.
        current: Option<ConfigurationVersion>,
    },
    /// The body does not match the record's hash, or the hash differs from that of the current
    /// configuration that the record claims to repeat.
    RejectedHash,
    /// The record repeats a configuration that was never current; its writer is faulty.
    RejectedRefresh,
    /// The record repeats a configuration that has been replaced.
    Stale,
    /// The record was folded before.
    AlreadyFolded,
    /// The reader lacks older records and cannot evaluate this one yet.
    Pending,
}
