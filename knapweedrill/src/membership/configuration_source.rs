//! Sources of a newer configuration.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;

/// A live process from which a newer configuration can be fetched.
#[value]
#[derive(Copy, Eq)]
pub struct ConfigurationSource {
    /// The incarnation of the process.
    pub peer: Incarnation,
    /// The version that the process has in force.
    pub version: ConfigurationVersion,
}
