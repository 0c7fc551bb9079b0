//! The decision on a task that an entry offers.

use knapweedrill_derive::value;

use crate::message::Start;

/// The decision of the arbiter on a task that an entry offers.
#[value]
pub enum OfferDecision {
    /// The task was assigned a slot and starts now.
    Run(Start),
    /// The task was accepted and is waiting for a slot.
    Wait,
    /// There is no capacity; the caller fences the attempt and reports it as not started.
    Refuse(Start),
}
