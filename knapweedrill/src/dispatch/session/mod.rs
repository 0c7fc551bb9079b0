//! Reliable, ordered message sessions between an entry and a sidecar, over datagrams.
//!
//! An established TCP connection can stop delivering data for good while new connections still
//! work, and a connection for each pair of processes costs threads and descriptors on both sides.
//! Datagram sessions avoid both problems: messages are numbered, acknowledged and retransmitted
//! until they arrive, and the sidecar's current status is piggybacked on every datagram it sends.

mod envelope;
mod link_budget;
mod peer;
mod queued_message;
mod round_trip;
mod schedule;
mod sent_messages;
mod sessions;
mod settings;

pub use envelope::{Envelope, MessageNumber, SessionNumber};
pub use peer::SessionEvent;
pub use sent_messages::{SentCount, SentKind, SentMessages};
pub use sessions::{Identity, Sessions};
pub use settings::SessionSettings;
