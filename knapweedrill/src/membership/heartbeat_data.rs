//! The data that heartbeats carry.

use knapweedrill_derive::value;

use crate::common::{HybridTime, Incarnation};
use crate::contract::ConfigurationVersion;
use crate::message::SlotReport;

/// The current state of an entry that its heartbeats carry.
#[value]
pub struct EntryHeartbeatData {
    /// The hybrid clock of the entry.
    pub clock: HybridTime,
    /// The version of the configuration in force, if there is one.
    pub configuration: Option<ConfigurationVersion>,
    /// Whether the entry is stopping.
    pub is_stopping: bool,
    /// Stopped entries for whose tokens the entry answers requests.
    pub answers_for: Vec<Incarnation>,
}

/// The current state of a sidecar that its heartbeats carry besides the announcement.
#[value]
pub struct SidecarHeartbeatData {
    /// The hybrid clock of the sidecar.
    pub clock: HybridTime,
    /// The version of the configuration in force, if there is one.
    pub configuration: Option<ConfigurationVersion>,
    /// The slot report of the minion.
    pub report: SlotReport,
}
