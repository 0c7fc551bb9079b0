//! The declarative configuration of the system, applied as a whole.

mod append_tracker;
mod fold;
mod fold_outcome;
mod kind;
mod limits;
mod parse;
mod record;
mod service;
mod team;
mod version;

pub use append_tracker::{AppendOutcome, AppendTracker};
pub use fold::{ConfigurationFold, CurrentConfiguration, InForceConfiguration};
pub use fold_outcome::FoldOutcome;
pub use kind::Kind;
pub use limits::Limits;
pub use record::{ConfigurationRecord, SCHEMA_VERSION};
pub use service::Service;
pub use team::Team;
pub use version::ConfigurationVersion;

use knapweedrill_derive::message;

/// The configuration that operators declare: services, kinds of work, teams and limits.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// The services, each a set of minions.
    pub services: Vec<Service>,
    /// The kinds of work, each run by one service.
    pub kinds: Vec<Kind>,
    /// The teams with their shares and caps.
    pub teams: Vec<Team>,
    /// The limits of admission control.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the kind of work with the given name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
