//! The configuration that a file replaces.

use std::fmt;
use std::str::FromStr;

use knapweedrill_derive::key;

use crate::contract::ConfigurationVersion;

/// The configuration that an operator expects to replace.
#[key]
#[derive(Default)]
pub enum Parent {
    /// Whatever is in force at the entry when the file arrives.
    #[default]
    Current,
    /// No configuration: the file is the first.
    Empty,
    /// The configuration of that version.
    Version(ConfigurationVersion),
}

impl Parent {
    /// Returns the parent to put into the record, given the version in force at the entry.
    pub fn resolve(self, current: Option<ConfigurationVersion>) -> Option<ConfigurationVersion> {
        match self {
            Self::Current => current,
            Self::Empty => None,
            Self::Version(version) => Some(version),
        }
    }
}

impl fmt::Display for Parent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Current => f.write_str("current"),
            Self::Empty => f.write_str("none"),
            Self::Version(version) => version.fmt(f),
        }
    }
}

/// The text names no parent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("allowed: the number of a version, none, current")]
pub struct ParentError;

impl FromStr for Parent {
    type Err = ParentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "current" => Ok(Self::Current),
            "none" => Ok(Self::Empty),
            _ => text.parse().map(Self::Version).map_err(|_| ParentError),
        }
    }
}
