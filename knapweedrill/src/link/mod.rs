//! Links between processes: sessions, dialling and fencing.
//!
//! [`LinkTable`] decides over the sessions of a process. Of any two processes exactly one dials:
//! an entry dials the sidecars, and of two entries the one with the smaller incarnation dials. The
//! other way, a session of each entry's own, would let a pair be half up, with replies that
//! overtake each other on two connections; with one dialler a peer has one session or none.
//!
//! The dialler numbers the sessions, and the numbers rise. A listener that opens session n closes
//! every earlier session with that dialler and refuses numbers up to n for ever, so that nothing
//! sent on an old connection can arrive after something sent on a newer one.

mod action;
mod backoff;
mod event;
mod identity;
mod settings;
mod state;
mod table;

pub use action::LinkAction;
pub use event::LinkTableEvent;
pub use identity::{Identity, WantedPeer};
pub use settings::SessionSettings;
pub use table::{LinkTable, LinkTableCounts};

/// Numbers the TCP connections of one process; never used twice in one run.
pub type LinkNumber = u64;
