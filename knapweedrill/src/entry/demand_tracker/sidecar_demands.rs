//! The demand for one sidecar.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::Demand;

/// The queued tasks of an entry that may run on one minion.
#[value]
pub struct SidecarDemands {
    /// The sidecar of the minion.
    pub sidecar: Incarnation,
    /// The number of slots of the minion.
    pub slot_count: u32,
    /// The demands, one for each team and class.
    pub demands: Vec<Demand>,
}
