//! Events of a process, which tools merge into a timeline of all processes.

mod kind;
mod ring;

pub use kind::EventKind;
pub use ring::EventRing;

use knapweedrill_derive::message;

use crate::common::{HybridTime, Incarnation, ProcessName};

/// A recorded event of a process.
#[message]
pub struct Event {
    /// The time of the event on the hybrid logical clock.
    pub at: HybridTime,
    /// The name of the process.
    pub process: ProcessName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The type of the event and its details.
    pub kind: EventKind,
}
