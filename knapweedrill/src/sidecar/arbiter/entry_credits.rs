//! Credits to issue to one entry.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::Credit;

/// Credits to issue to one entry in one message.
#[value]
pub struct EntryCredits {
    /// The entry.
    pub entry: Incarnation,
    /// The credits, one for each team and class.
    pub credits: Vec<Credit>,
}
