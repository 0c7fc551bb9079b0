//! Events for the time line over all processes.

mod kind;
mod ring;

pub use kind::EventKind;
pub use ring::EventRing;

use knapweedrill_derive::message;

use crate::common::{HybridTime, Incarnation, ProcessName};

/// Something that happened in a process.
#[message]
pub struct Event {
    /// When, on the hybrid clock.
    pub at: HybridTime,
    /// The process's name.
    pub process: ProcessName,
    /// The process's run.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: EventKind,
}
