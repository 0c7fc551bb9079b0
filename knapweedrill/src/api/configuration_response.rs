//! The response body of `GET /v1/configuration`.

use knapweedrill_derive::message;

use crate::contract::ConfigurationVersion;

/// The response body of `GET /v1/configuration`.
#[message]
pub struct ConfigurationResponse {
    /// The version in force; `None` if the process has no configuration yet.
    pub version: Option<ConfigurationVersion>,
    /// The schema version of the record.
    pub schema_version: Option<u32>,
    /// The hash of the body, as lower-case hexadecimal digits.
    pub body_hash: Option<String>,
    /// The text of the declarative file.
    pub body: Option<String>,
    /// Whether the process can parse the body; if not, the last one that it could parse stays in
    /// force.
    pub is_understood: bool,
}
