//! Membership of entries and minions, discovered by gossip and heartbeats.
//!
//! Suspicion of a silent process affects placement only; the protection against starting a task
//! twice does not depend on it.
//!
//! An entry or a minion counts as found once it has sent a heartbeat itself. A process that is
//! known only from a seed, a presence record or another entry is a candidate: it gets heartbeats
//! and is found when it answers. A stale record or outdated gossip therefore never revives a dead
//! process.

mod candidates;
mod change;
mod configuration_source;
mod entry;
mod entry_directory;
mod failure_detector;
mod heartbeat_data;
mod outgoing_datagram;
mod pause_detector;
mod process_table;
mod rendezvous;
mod round_robin;
mod settings;
mod sidecar;

pub use change::MembershipChange;
pub use configuration_source::ConfigurationSource;
pub use entry::EntryMembership;
pub use failure_detector::FailureDetector;
pub use heartbeat_data::{EntryHeartbeatData, SidecarHeartbeatData};
pub use outgoing_datagram::OutgoingDatagram;
pub use rendezvous::choose_by_rendezvous;
pub use settings::MembershipSettings;
pub use sidecar::SidecarMembership;
