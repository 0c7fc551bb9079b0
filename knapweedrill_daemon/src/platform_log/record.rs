//! Records that knapweedrill stores in the log.

use knapweedrill::contract::ConfigurationRecord;
use knapweedrill::message::PeerAddress;
use serde::{Deserialize, Serialize};

/// A record of knapweedrill in the log, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "record")]
pub enum LogRecord {
    /// A configuration that was submitted.
    Configuration(ConfigurationRecord),
    /// The address of an entry that has started.
    Presence(PeerAddress),
}
