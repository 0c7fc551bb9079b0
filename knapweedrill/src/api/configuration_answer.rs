//! The answer of `GET /v1/configuration`.

use knapweedrill_derive::message;

use crate::contract::ConfigurationVersion;

/// The answer of `GET /v1/configuration`.
#[message]
pub struct ConfigurationAnswer {
    /// The version in force; `None` if the process has no configuration yet.
    pub version: Option<ConfigurationVersion>,
    /// The version of the form of the record.
    pub schema_version: Option<u32>,
    /// The hash of the body, as lower-case hexadecimal digits.
    pub body_hash: Option<String>,
    /// The declarative file.
    pub body: Option<String>,
    /// Whether the process can read the body; if not, it goes on by the last one that it could.
    pub is_understood: bool,
}
