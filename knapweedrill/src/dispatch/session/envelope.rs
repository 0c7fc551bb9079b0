//! What the datagrams of a session carry.

use knapweedrill_derive::message;

use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};

/// Numbers the messages of one direction of a session; the first is 1.
pub type MessageNumber = u64;

/// Numbers the sessions that a run of an entry has opened; a later one replaces an earlier one with
/// the same sidecar.
pub type SessionNumber = u64;

/// The content of a datagram of a session.
#[message]
pub struct Envelope {
    /// The sender.
    pub from: Incarnation,
    /// What the sender is.
    pub role: Role,
    /// The receiver, or 0 while the sender does not know it.
    pub to: Incarnation,
    /// The session, as numbered by the entry.
    pub session: SessionNumber,
    /// Whether the sender has no such session any more; nothing else is to be read then.
    pub is_closing: bool,
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
    /// The newest state of a sidecar.
    pub status: Option<SidecarStatus>,
}
