//! Sessions between two processes, over datagrams.
//!
//! Connections may fall silent for good while new ones work, and a connection for each pair of
//! processes costs threads and descriptors on both sides. A session over datagrams has neither
//! trouble: messages are numbered, acknowledged and sent again until they arrive, and the newest
//! state of each side rides on every datagram.

mod envelope;
mod peer;
mod schedule;
mod sessions;
mod settings;

pub use envelope::{Envelope, MessageNumber, SessionNumber};
pub use peer::SessionEvent;
pub use sessions::{Identity, Sessions};
pub use settings::SessionSettings;
