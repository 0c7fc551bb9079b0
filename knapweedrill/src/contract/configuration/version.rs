//! The version of a configuration.

use crate::common::LogOffset;

/// The version of a configuration: the offset of the record that brought it into force.
pub type ConfigurationVersion = LogOffset;
