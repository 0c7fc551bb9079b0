//! Demands of one sidecar.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::Demand;

/// What an entry would run on one minion.
#[value]
pub struct SidecarDemands {
    /// The sidecar of the minion.
    pub sidecar: Incarnation,
    /// How many tasks the minion runs at once.
    pub slot_count: u32,
    /// The demands, one for each team and class.
    pub demands: Vec<Demand>,
}
