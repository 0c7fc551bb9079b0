//! The declaration of a team.

use knapweedrill_derive::message;

use crate::common::TeamName;

/// A team: a customer with a guaranteed share of each service.
#[message]
pub struct Team {
    /// The name by which jobs refer to the team.
    pub name: TeamName,
    /// The part of a service's slot time that the team is guaranteed whenever it has work, in per
    /// cent.
    pub share_percent: u32,
    /// The largest part of a service's slot time that the team may use, in per cent.
    pub cap_percent: u32,
}
