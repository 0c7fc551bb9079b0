//! Records of configurations in the log.

use knapweedrill_derive::message;

use super::ConfigurationVersion;
use crate::common::LogOffset;

/// A record of a configuration in the log of the platform.
#[message]
pub struct ConfigurationRecord {
    /// The schema version of the record and its body.
    pub schema_version: u32,
    /// A random number by which the writer recognises its record if the append's response is lost.
    pub record_id: u64,
    /// The version that the writer saw as current; the record is rejected if another was accepted
    /// in the meantime.
    pub parent: Option<ConfigurationVersion>,
    /// The version that the record repeats, so that it outlasts retention; `None` for a change.
    pub refresh_of: Option<ConfigurationVersion>,
    /// The first offset of the log that the writer had not read; the version `refresh_of` was
    /// current there.
    pub read_to: LogOffset,
    /// The hash of the body, as lower-case hexadecimal digits.
    pub body_hash: String,
    /// The complete text of the declarative file.
    pub body: String,
}

/// The schema version of records and bodies that this release reads and writes.
pub const SCHEMA_VERSION: u32 = 1;

impl ConfigurationRecord {
    /// Creates a record that replaces `parent` with `body`; `record_id` is a random number.
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

    /// Returns whether the body matches the hash.
    pub fn is_intact(&self) -> bool {
        self.body_hash == body_hash(&self.body)
    }
}

fn body_hash(body: &str) -> String {
    blake3::hash(body.as_bytes()).to_hex().to_string()
}
