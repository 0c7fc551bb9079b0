//! The first message of a link session.

use knapweedrill_derive::{key, message};

use crate::common::{Incarnation, ProcessName, SessionNumber};

/// Opens a session; the answering side replies with a `Hello` of its own.
#[message]
pub struct Hello {
    /// The version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The sender's role.
    pub role: Role,
    /// The sender's name.
    pub name: ProcessName,
    /// The number of the session; chosen by the dialling side, repeated by the other.
    pub session: SessionNumber,
}

/// The role of a process.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers and owns jobs.
    Entry,
    /// Calls one minion and arbitrates its slots.
    Sidecar,
}
