//! Links between processes: session handshake, reconnection and fencing.
//!
//! [`LinkTable`] manages the sessions of a process. In each pair of processes exactly one dials: an
//! entry dials sidecars, and of two entries the one with the smaller incarnation dials. If each
//! side opened a session of its own, a pair could be half connected, and replies on the two
//! connections could be reordered; with a single dialler a peer has one session or none.
//!
//! The dialler numbers its sessions in ascending order. A listener that opens session n closes
//! every earlier session with that dialler and rejects session numbers up to n from then on. A
//! message sent on an old connection is therefore never delivered after one sent on a newer one.

mod action;
mod backoff;
mod counts;
mod event;
mod identity;
mod peer_endpoint;
mod settings;
mod state;
mod table;

pub use action::LinkAction;
pub use counts::LinkTableCounts;
pub use event::LinkTableEvent;
pub use identity::Identity;
pub use peer_endpoint::PeerEndpoint;
pub use settings::SessionSettings;
pub use table::LinkTable;

/// Identifies a TCP connection of this process; unique within one incarnation.
pub type LinkId = u64;
