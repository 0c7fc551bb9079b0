//! Messages between the processes of the system.
//!
//! Links carry each [`Message`] in a [`Frame`]; heartbeats are sent as [`Datagram`]s over UDP.

mod datagram;
mod demand;
mod frame;
mod hello;
mod kind;
mod reconcile;
mod relay;
mod start;

pub use datagram::{Datagram, DatagramBody, EntryHeartbeat, PeerAddress};
pub use demand::{Credit, Demand, SlotReport};
pub use frame::{Frame, Message, PROTOCOL_VERSION};
pub use hello::{Hello, Role};
pub use kind::MessageKind;
pub use reconcile::{AttemptState, FenceReport, ReconciledTask, TaskInDoubt};
pub use relay::{
    HandOver, RelayRequest, RelayResponse, RetainedKey, RetainedOutcome, RosterNotice,
};
pub use start::{NotStartedReason, Start, TaskReport};
