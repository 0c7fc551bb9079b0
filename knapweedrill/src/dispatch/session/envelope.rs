//! What a datagram carries.

use knapweedrill_derive::message;

use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, StampMs, Status};

/// Numbers the messages of one direction of a session; the first is 1.
pub type MessageNumber = u64;

/// The content of a datagram.
#[message]
pub struct Envelope {
    /// The sender.
    pub from: Incarnation,
    /// What the sender is.
    pub role: Role,
    /// The receiver, or 0 while the sender does not know it.
    pub to: Incarnation,
    /// The sender's steady clock.
    pub stamp_ms: StampMs,
    /// The newest stamp that the sender has got from the receiver.
    pub echo_ms: StampMs,
    /// All messages up to this number have arrived.
    pub received: MessageNumber,
    /// The number of the first message.
    pub first: MessageNumber,
    /// The messages.
    pub messages: Vec<Message>,
    /// The sender's newest state.
    pub status: Option<Status>,
}
