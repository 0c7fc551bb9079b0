//! What became of a record.

use knapweedrill_derive::key;

use super::ConfigurationVersion;

/// What a fold made of a record.
#[key]
pub enum FoldOutcome {
    /// The record's configuration is the current one from now on.
    Accepted {
        /// Its version.
        version: ConfigurationVersion,
    },
    /// The record repeats the current configuration.
    Refreshed,
    /// The record tells of a configuration that this reader did not have.
    Learned {
        /// The version that is current by now.
        version: ConfigurationVersion,
    },
    /// The record's parent is not the current configuration.
    RejectedParent {
        /// The version that is current.
        current: Option<ConfigurationVersion>,
    },
    /// The body does not have the hash that the record names, or another than the current one.
    RejectedHash,
    /// The record repeats a configuration that was never current; its writer is faulty.
    RejectedRefresh,
    /// The record repeats a configuration that has been replaced.
    Stale,
    /// The reader has taken account of the record before.
    AlreadyFolded,
    /// The reader lacks older records and cannot judge this one yet.
    Pending,
}
