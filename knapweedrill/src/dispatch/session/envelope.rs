//! The datagram format of sessions.

use knapweedrill_derive::message;

use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};

/// The sequence number of a message within one direction of a session; the first is 1.
pub type MessageNumber = u64;

/// The number of a session, assigned in rising order by the entry process that opens it.
///
/// A session with a higher number replaces an earlier one with the same sidecar.
pub type SessionNumber = u64;

/// One datagram of a session: header, acknowledgement, messages and status.
#[message]
pub struct Envelope {
    /// The incarnation of the sender.
    pub from: Incarnation,
    /// The role of the sender.
    pub role: Role,
    /// The incarnation of the receiver, or 0 while the sender does not know it.
    pub to: Incarnation,
    /// The number that the entry assigned to the session.
    pub session: SessionNumber,
    /// Whether the sender has closed the session. The receiver ignores the remaining fields then.
    pub is_closing: bool,
    /// The sender's monotonic clock when it sent the datagram.
    pub stamp_ms: StampMs,
    /// The newest `stamp_ms` of the receiver up to which the sender vouches for its runs, or 0 if
    /// none: no newer than the oldest stop order without an acknowledgement, and at an entry no newer
    /// than what it knows of its callers.
    pub echo_ms: StampMs,
    /// Cumulative acknowledgement: the sender has received all messages up to this number.
    pub received: MessageNumber,
    /// The sequence number of the first of `messages`.
    pub first: MessageNumber,
    /// Consecutive messages; empty in a pure acknowledgement, heartbeat or status update.
    pub messages: Vec<Message>,
    /// The current status of the sidecar; `None` in datagrams from an entry.
    pub status: Option<SidecarStatus>,
}
