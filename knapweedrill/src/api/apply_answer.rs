//! The answer of `POST /v1/configuration`.

use knapweedrill_derive::{key, message};

use crate::contract::ConfigurationVersion;
use crate::ini::IniProblem;

/// The answer of `POST /v1/configuration`.
#[message]
pub struct ApplyAnswer {
    /// What became of the file.
    pub outcome: ApplyOutcome,
    /// The version of the file, if it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigurationVersion>,
    /// The version in force, if the file was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<ConfigurationVersion>,
    /// How many processes have the version in force, if the call waited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_count: Option<u32>,
    /// How many processes are known, if the call waited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process_count: Option<u32>,
    /// What is wrong and what to do, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// What is wrong with the file, if it is invalid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<IniProblem>,
}

/// What became of a configuration file.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// The file is the configuration from now on.
    Accepted,
    /// Another file came in between; the parent is no longer the version in force.
    Rejected,
    /// The file has errors; it was not written to the log.
    Invalid,
    /// The log cannot be reached; the file was not written to it.
    NotApplied,
    /// The file may have been written to the log; nobody knows yet.
    Unknown,
}
