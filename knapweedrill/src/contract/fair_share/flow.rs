//! Flows of work.

use knapweedrill_derive::message;

use crate::common::TeamName;
use crate::contract::Class;

/// The work of one team and class, the unit that fair queueing orders.
#[message]
#[derive(Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
}

impl Flow {
    /// Creates the flow of a team and class.
    pub fn new(team: impl Into<TeamName>, class: Class) -> Self {
        Self {
            team: team.into(),
            class,
        }
    }
}
