//! A record of a configuration in the log.

use knapweedrill_derive::message;

use super::ConfigurationVersion;

/// A record that puts a configuration into the log of the platform.
#[message]
pub struct ConfigurationRecord {
    /// The version of the record's own form.
    pub schema_version: u32,
    /// A random number by which the writer finds its record after a lost answer.
    pub record_id: u64,
    /// The configuration that the writer saw; the record is void if another came in between.
    pub parent: Option<ConfigurationVersion>,
    /// Set when the record repeats an accepted configuration before retention cuts it off.
    pub refresh_of: Option<ConfigurationVersion>,
    /// The hash of the body, as lower-case hexadecimal digits.
    pub body_hash: String,
    /// The declarative file, whole.
    pub body: String,
}
