//! What the parties have agreed on: ownership of jobs, shares of the fleet, configuration.

mod class;
mod configuration;
mod owner_token;
mod roster;

pub use class::Class;
pub use configuration::{
    Adopted, AppendFate, Configuration, ConfigurationFold, ConfigurationRecord,
    ConfigurationVersion, FoldOutcome, InForce, Kind, Limits, ReadBack, SCHEMA_VERSION, Service,
    Team,
};
pub use owner_token::{OwnerToken, OwnerTokenError};
pub use roster::roster_digest;
