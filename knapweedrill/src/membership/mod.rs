//! Who takes part: entries and minions, learned from heartbeats.
//!
//! Suspicion of a silent process changes placement only; nothing that keeps a task from being
//! started twice rests on it.
//!
//! An entry or a minion counts as found once it was heard itself. A process that was only told of,
//! by a seed, a presence record or another entry, is a candidate: it gets heartbeats, and if it
//! answers it is found. So a stale record or a slow peer's word never brings a dead process back.

mod arrivals;
mod candidates;
mod change;
mod directory;
mod entry;
mod outgoing;
mod pause_watch;
mod presence;
mod rendezvous;
mod rotation;
mod settings;
mod sidecar;

pub use arrivals::Arrivals;
pub use change::{ConfigurationSource, MembershipChange};
pub use entry::EntryMembership;
pub use outgoing::{EntryNews, Outgoing, SidecarNews};
pub use rendezvous::choose;
pub use settings::MembershipSettings;
pub use sidecar::SidecarMembership;
