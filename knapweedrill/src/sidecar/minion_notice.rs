//! The state that a minion reports to its sidecar.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use crate::common::ServiceName;
use crate::minion::MinionState;

/// The state that a minion reports to its sidecar at regular intervals.
#[message]
pub struct MinionNotice {
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The address at which the minion accepts tasks.
    pub address: SocketAddr,
    /// The number of tasks that the minion runs concurrently.
    pub slots: u32,
    /// The speed that the minion claims, in percent of the reference minion; 0 for no claim.
    pub speed_hint_percent: u32,
    /// Whether the minion accepts new work.
    pub state: MinionState,
}
