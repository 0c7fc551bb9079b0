//! Counts of the messages that sessions have sent.

use super::envelope::{Envelope, MessageNumber};
use crate::dispatch::message::Message;

/// The kinds of sent messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentKind {
    /// Start orders sent for the first time.
    Start,
    /// Start orders sent again.
    RepeatedStart,
    /// Withdrawals of start orders.
    Withdrawal,
    /// Stop orders, with repeats.
    Stop,
    /// Reports and profiles, with repeats.
    Other,
}

impl SentKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Start,
        Self::RepeatedStart,
        Self::Withdrawal,
        Self::Stop,
        Self::Other,
    ];

    fn new(message: &Message, is_repeat: bool) -> Self {
        match message {
            Message::Start(_) if is_repeat => Self::RepeatedStart,
            Message::Start(_) => Self::Start,
            Message::Withdrawn { .. } => Self::Withdrawal,
            Message::Stop { .. } => Self::Stop,
            Message::Report(_) | Message::Minion(_) | Message::Evacuation { .. } => Self::Other,
        }
    }
}

/// The number and size of messages of one kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SentCount {
    /// The number of messages.
    pub messages: u64,
    /// Their encoded size in bytes, without the datagrams that carry them.
    pub bytes: u64,
}

/// The number and size of the messages that were sent, by kind.
#[derive(Debug, Default, Clone, Copy)]
pub struct SentMessages {
    counts: [SentCount; SentKind::ALL.len()],
}

impl SentMessages {
    /// Returns the count of a kind.
    pub fn count(&self, kind: SentKind) -> SentCount {
        self.counts[kind as usize]
    }

    /// Counts the messages of a datagram, of which those before number `first_new` are repeats, and
    /// returns the encoded size of the repeats in bytes.
    pub(super) fn record(&mut self, envelope: &Envelope, first_new: MessageNumber) -> u64 {
        let mut repeated_bytes = 0;
        for (number, message) in (envelope.first..).zip(&envelope.messages) {
            let is_repeat = number < first_new;
            let bytes = self.record_message(message, is_repeat);
            repeated_bytes += if is_repeat { bytes } else { 0 };
        }
        repeated_bytes
    }

    fn record_message(&mut self, message: &Message, is_repeat: bool) -> u64 {
        let bytes = postcard::experimental::serialized_size(message).unwrap_or_default() as u64;
        let count = &mut self.counts[SentKind::new(message, is_repeat) as usize];
        count.messages += 1;
        count.bytes += bytes;
        bytes
    }
}
