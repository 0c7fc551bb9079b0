//! The declarative configuration of the system, applied as a whole.

mod fold;
mod fold_outcome;
mod kind;
mod limits;
mod parse;
mod read_back;
mod record;
mod service;
mod team;
mod version;

pub use fold::{Adopted, ConfigurationFold, InForce};
pub use fold_outcome::FoldOutcome;
pub use kind::Kind;
pub use limits::Limits;
pub use read_back::{AppendFate, ReadBack};
pub use record::{ConfigurationRecord, SCHEMA_VERSION};
pub use service::Service;
pub use team::Team;
pub use version::ConfigurationVersion;

use knapweedrill_derive::message;

/// What the operators have declared: services, kinds of work, teams and limits.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// The services, each a set of minions.
    pub services: Vec<Service>,
    /// The kinds of work and the service that runs each.
    pub kinds: Vec<Kind>,
    /// The teams with their shares.
    pub teams: Vec<Team>,
    /// The bounds on what is admitted.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the kind of work of that name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
