//! Messages between the processes of the system.
//!
//! Links carry [`Message`] in a [`Frame`]; heartbeats carry [`Datagram`].

mod datagram;
mod demand;
mod frame;
mod hello;
mod kind;
mod relay;
mod start;
mod verdict;

pub use datagram::{Datagram, DatagramBody, EntryBeat, PeerAddress};
pub use demand::{Credit, Demand, SlotReport};
pub use frame::{Frame, Message, PROTOCOL_VERSION};
pub use hello::{Hello, Role};
pub use kind::MessageKind;
pub use relay::{HandOver, KeptKey, KeptState, RelayAnswer, RelayRequest, RosterNotice};
pub use start::{NotStarted, Start, TaskReport};
pub use verdict::{FenceReport, TaskInDoubt, TaskVerdict, Verdict};
