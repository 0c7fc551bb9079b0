//! A record of a configuration in the log.

use knapweedrill_derive::message;

use super::ConfigurationVersion;
use crate::common::LogOffset;

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
    /// The first offset of the log that the writer had not read; what `refresh_of` names was in
    /// force there.
    pub read_to: LogOffset,
    /// The hash of the body, as lower-case hexadecimal digits.
    pub body_hash: String,
    /// The declarative file, whole.
    pub body: String,
}

/// The version of the form of records and bodies that this program writes and reads.
pub const SCHEMA_VERSION: u32 = 1;

impl ConfigurationRecord {
    /// Creates the record that replaces `parent` by `body`; `record_id` is a random number.
    pub fn new(
        record_id: u64,
        parent: Option<ConfigurationVersion>,
        body: impl Into<String>,
    ) -> Self {
        let body = body.into();
        Self {
            schema_version: SCHEMA_VERSION,
            record_id,
            parent,
            refresh_of: None,
            read_to: 0,
            body_hash: body_hash(&body),
            body,
        }
    }

    /// Returns whether the hash is that of the body.
    pub fn is_intact(&self) -> bool {
        self.body_hash == body_hash(&self.body)
    }
}

fn body_hash(body: &str) -> String {
    blake3::hash(body.as_bytes()).to_hex().to_string()
}
