//! Credits for one entry.

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::message::Credit;

/// Credits that are issued to one entry in one message.
#[value]
pub struct EntryCredits {
    /// The incarnation of the entry.
    pub entry: Incarnation,
    /// The credits, at most one record for each team and class.
    pub credits: Vec<Credit>,
}
