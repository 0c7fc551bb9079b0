//! The identity of the process that owns a link table.

use knapweedrill_derive::value;

use crate::common::{Incarnation, ProcessName};
use crate::message::Role;

/// The identity that a process presents in its hellos.
#[value]
pub struct Identity {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The role of the process.
    pub role: Role,
    /// The name of the process.
    pub name: ProcessName,
}

impl Identity {
    /// Returns whether this process dials a peer with this incarnation and role.
    pub fn dials(&self, incarnation: Incarnation, role: Role) -> bool {
        match (self.role, role) {
            (Role::Entry, Role::Sidecar) => true,
            (Role::Entry, Role::Entry) => self.incarnation < incarnation,
            (Role::Sidecar, _) => false,
        }
    }
}
