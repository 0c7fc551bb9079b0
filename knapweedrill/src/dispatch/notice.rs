//! What processes tell each other outside of sessions.

use knapweedrill_derive::message;

use super::configuration::Version;
use super::place::Place;
use super::session::Envelope;

/// The content of a datagram.
#[message]
pub enum Packet {
    /// A datagram of a session.
    Session(Envelope),
    /// Anything else.
    Notice(Notice),
}

/// What processes tell each other outside of sessions. Each notice stands for itself, and may be lost
/// or arrive twice.
#[message]
pub enum Notice {
    /// Sidecar to entry: where it is.
    Here(Place),
    /// Entry to entry: what the sender knows.
    Gossip {
        /// The version of the configuration in force; 0 if there is none.
        version: Version,
        /// Some of the sidecars that it knows.
        sidecars: Vec<Place>,
        /// Whether this answers gossip.
        is_answer: bool,
    },
    /// Entry to entry: asks for a piece of a configuration.
    AskConfiguration {
        /// Its version.
        version: Version,
        /// The position of the piece.
        index: u32,
    },
    /// Entry to entry: a piece of an encoded configuration.
    ConfigurationPart {
        /// Its version.
        version: Version,
        /// The position of the piece.
        index: u32,
        /// How many pieces there are.
        count: u32,
        /// The piece.
        bytes: Vec<u8>,
    },
    /// Entry to entry: asks for the sidecars that the receiver knows.
    AskSidecars {
        /// How many of them were told before.
        skipped: u32,
    },
    /// Entry to entry: some of the sidecars that the sender knows, in an order that stays.
    Sidecars {
        /// How many come before them.
        skipped: u32,
        /// How many there are in all.
        count: u32,
        /// The sidecars.
        sidecars: Vec<Place>,
    },
}
