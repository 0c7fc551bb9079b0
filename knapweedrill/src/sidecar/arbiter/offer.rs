//! What becomes of a task that an entry offers.

use knapweedrill_derive::value;

use crate::message::Start;

/// What becomes of a task that an entry offers.
#[value]
pub enum Offer {
    /// The task has a slot and is to be started now.
    Run(Start),
    /// The task was accepted and waits for a slot.
    Wait,
    /// There is no room; the attempt is to be fenced and reported as not started.
    Refuse(Start),
}
