//! The response body of `POST /v1/configuration`.

use knapweedrill_derive::{key, message};

use crate::contract::ConfigurationVersion;
use crate::ini::IniProblem;

/// The response body of `POST /v1/configuration`.
#[message]
pub struct ApplyResponse {
    /// Whether the file was applied.
    pub outcome: ApplyOutcome,
    /// The version of the applied configuration; set if the file was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigurationVersion>,
    /// The version in force; set if the file was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<ConfigurationVersion>,
    /// How many processes have the version in force; set if the call waited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_count: Option<u32>,
    /// How many processes are known; set if the call waited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process_count: Option<u32>,
    /// An explanation for operators: what is wrong and what to do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// All problems of the file; empty unless the file is invalid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<IniProblem>,
}

/// The outcome of applying a configuration file.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// The file is the current configuration.
    Accepted,
    /// The expected parent is not the version in force, because another file was applied first.
    Rejected,
    /// The file has errors and was not written to the log.
    Invalid,
    /// The log is unreachable, and the file was not written to it.
    NotApplied,
    /// Whether the file was written to the log is not known yet.
    Unknown,
}
