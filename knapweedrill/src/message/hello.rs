//! The first message of a link session.

use knapweedrill_derive::{key, message};

use crate::common::{Incarnation, ProcessName, SessionNumber};

/// Opens a session; the accepting side replies with its own `Hello`.
#[message]
pub struct Hello {
    /// The version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The sender's role.
    pub role: Role,
    /// The sender's name.
    pub name: ProcessName,
    /// The number of the session, chosen by the dialling side and echoed by the accepting side.
    pub session: SessionNumber,
}

/// The role of a process.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests from callers and owns their jobs.
    Entry,
    /// Runs tasks on one minion and arbitrates its slots among the entries.
    Sidecar,
}
