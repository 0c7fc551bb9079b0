//! The precondition of applying a configuration file.

use std::fmt;
use std::str::FromStr;

use knapweedrill_derive::key;

use crate::contract::ConfigurationVersion;

/// The configuration that an operator expects to replace.
///
/// The file is rejected if another version is current, so concurrent changes are not lost.
#[key]
#[derive(Default)]
pub enum ExpectedParent {
    /// The version in force at the entry when the file arrives.
    #[default]
    Current,
    /// No configuration; the file is the first one.
    Empty,
    /// The configuration with this version.
    Version(ConfigurationVersion),
}

impl ExpectedParent {
    /// Returns the parent version for the record; `current` is the version in force at the entry.
    pub fn resolve(self, current: Option<ConfigurationVersion>) -> Option<ConfigurationVersion> {
        match self {
            Self::Current => current,
            Self::Empty => None,
            Self::Version(version) => Some(version),
        }
    }
}

impl fmt::Display for ExpectedParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Current => f.write_str("current"),
            Self::Empty => f.write_str("none"),
            Self::Version(version) => version.fmt(f),
        }
    }
}

/// The text is not a valid parent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("allowed: the number of a version, none, current")]
pub struct ExpectedParentError;

impl FromStr for ExpectedParent {
    type Err = ExpectedParentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "current" => Ok(Self::Current),
            "none" => Ok(Self::Empty),
            _ => text
                .parse()
                .map(Self::Version)
                .map_err(|_| ExpectedParentError),
        }
    }
}
