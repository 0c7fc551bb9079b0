//! Counters of the link table.

use knapweedrill_derive::value;

/// Counters of sessions, dropped frames and rejected hellos.
#[value]
#[derive(Copy, Eq, Default)]
pub struct LinkTableCounts {
    /// Frames dropped because their session is fenced or closed.
    pub fenced_frame_count: u64,
    /// Connections closed because of a message that violates the protocol.
    pub protocol_error_count: u64,
    /// Hellos rejected because of their protocol version, incarnation or role, or a fenced session.
    pub refused_hello_count: u64,
    /// Sessions closed because nothing arrived within the silence timeout.
    pub silent_session_count: u64,
    /// Sessions opened.
    pub opened_session_count: u64,
}
