//! What the system keeps in the log.

use knapweedrill::contract::ConfigurationRecord;
use knapweedrill::message::PeerAddress;
use serde::{Deserialize, Serialize};

/// A record of the system in the log, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "record")]
pub enum LogRecord {
    /// A configuration.
    Configuration(ConfigurationRecord),
    /// An entry that has started.
    Presence(PeerAddress),
}
